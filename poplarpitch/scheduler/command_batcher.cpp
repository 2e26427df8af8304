#include "poplarpitch/scheduler/command_batcher.h"

#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/replica/replica.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <iterator>

namespace poplarpitch {

command_batcher::command_batcher(event_loop& loop, replica& log, job_state_machine& job_state,
                                 std::size_t max_bytes)
    : m_loop(loop), m_log(log), m_job_state(job_state), m_max_bytes(max_bytes),
      m_pending(std::make_unique<job_wire::job_command_batch>()) {}

command_batcher::~command_batcher() = default;

void command_batcher::add(job_wire::job_command command, result_handler on_result) {
    if (m_handlers.empty()) {
        m_loop.post([] {}); // wakes the loop: this iteration's flush may have run already
    }
    *m_pending->add_commands() = std::move(command);
    m_handlers.push_back(std::move(on_result));
}

void command_batcher::flush() {
    if (m_handlers.empty() || m_in_flight > 0) {
        return;
    }
    const auto count = count_next_batch();
    job_wire::job_command_batch batch;
    std::vector<job_wire::job_command*> commands(count);
    m_pending->mutable_commands()->ExtractSubrange(0, static_cast<int>(count), commands.data());
    for (auto* command : commands) {
        batch.mutable_commands()->AddAllocated(command);
    }
    const auto rest = m_handlers.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<result_handler> handlers(std::make_move_iterator(m_handlers.begin()),
                                         std::make_move_iterator(rest));
    m_handlers.erase(m_handlers.begin(), rest);
    auto payload = batch.SerializeAsString();
    ++m_in_flight;
    m_log.propose(std::move(payload), [this, handlers = std::move(handlers)](proposal_result outcome) {
        --m_in_flight;
        on_batch_result(handlers, outcome == proposal_result::applied, outcome == proposal_result::refused);
        if (!m_handlers.empty()) {
            m_loop.post([] {}); // the next iteration flushes the remaining commands
        }
    });
}

std::size_t command_batcher::count_next_batch() const {
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const auto& command : m_pending->commands()) {
        bytes += command.ByteSizeLong();
        if (count > 0 && bytes > m_max_bytes) {
            break;
        }
        ++count;
    }
    return count;
}

void command_batcher::on_batch_result(const std::vector<result_handler>& handlers, bool is_applied,
                                      bool is_refused) {
    const auto outcomes = is_applied ? m_outcomes : std::vector<command_outcome>{};
    for (std::size_t index = 0; index < handlers.size(); ++index) {
        if (!handlers[index]) {
            continue;
        }
        if (is_applied && index < outcomes.size()) {
            const bool is_taken = outcomes[index] != command_outcome::refused;
            handlers[index](is_taken ? commit_result::applied : commit_result::refused);
        } else {
            handlers[index](is_refused ? commit_result::not_proposed : commit_result::unknown);
        }
    }
}

void command_batcher::apply(const log_entry& entry, std::vector<job_state_event>& events) {
    m_outcomes.clear();
    job_wire::job_command_batch batch;
    if (!batch.ParseFromString(entry.payload)) {
        log_event(log_level::error, "command_unreadable").add("index", entry.index);
        return;
    }
    ++m_batches;
    for (const auto& command : batch.commands()) {
        m_outcomes.push_back(m_job_state.apply(command, events));
        ++m_commands;
    }
}

void command_batcher::drop_pending() {
    m_pending->clear_commands();
    const auto handlers = std::move(m_handlers);
    m_handlers.clear();
    on_batch_result(handlers, false, true);
}

} // namespace poplarpitch
