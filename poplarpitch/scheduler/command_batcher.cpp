#include "poplarpitch/scheduler/command_batcher.h"

#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/replica/replica.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <google/protobuf/arena.h>

#include <iterator>

namespace poplarpitch {
namespace {

/// Returns true when every instance can parse the batch. Serialising checks nothing: a field of type `string`
/// is written with any bytes, but only UTF-8 can be parsed.
bool is_readable(const std::string& payload) {
    google::protobuf::Arena arena; // a batch has thousands of small messages
    return google::protobuf::Arena::CreateMessage<job_wire::job_command_batch>(&arena)->ParseFromString(
        payload);
}

} // namespace

/// Commands that are proposed together. Both lists have the same length.
struct command_batcher::pending_batch {
    std::unique_ptr<job_wire::job_command_batch> commands;
    std::vector<result_handler> handlers; ///< one for each command; may be empty functions
};

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
    auto batch = take_next_batch();
    auto payload = batch.commands->SerializeAsString();
    if (!is_readable(payload)) {
        remove_unreadable(batch);
        if (batch.handlers.empty()) {
            m_loop.post([] {}); // the next iteration flushes the commands that did not fit into this batch
            return;
        }
        payload = batch.commands->SerializeAsString();
    }
    ++m_in_flight;
    m_log.propose(std::move(payload), [this, handlers = std::move(batch.handlers)](proposal_result outcome) {
        --m_in_flight;
        on_batch_result(handlers, outcome == proposal_result::applied, outcome == proposal_result::refused);
        if (!m_handlers.empty()) {
            m_loop.post([] {}); // the next iteration flushes the remaining commands
        }
    });
}

command_batcher::pending_batch command_batcher::take_next_batch() {
    const auto count = count_next_batch();
    pending_batch batch;
    batch.commands = std::make_unique<job_wire::job_command_batch>();
    std::vector<job_wire::job_command*> commands(count);
    m_pending->mutable_commands()->ExtractSubrange(0, static_cast<int>(count), commands.data());
    for (auto* command : commands) {
        batch.commands->mutable_commands()->AddAllocated(command);
    }
    const auto rest = m_handlers.begin() + static_cast<std::ptrdiff_t>(count);
    batch.handlers.assign(std::make_move_iterator(m_handlers.begin()), std::make_move_iterator(rest));
    m_handlers.erase(m_handlers.begin(), rest);
    return batch;
}

void command_batcher::remove_unreadable(pending_batch& batch) {
    pending_batch readable;
    readable.commands = std::make_unique<job_wire::job_command_batch>();
    std::vector<result_handler> refused;
    for (std::size_t index = 0; index < batch.handlers.size(); ++index) {
        auto& command = *batch.commands->mutable_commands(static_cast<int>(index));
        job_wire::job_command_batch single;
        *single.add_commands() = command;
        if (is_readable(single.SerializeAsString())) {
            *readable.commands->add_commands() = std::move(command);
            readable.handlers.push_back(std::move(batch.handlers[index]));
            continue;
        }
        log_event(log_level::error, "command_refused")
            .add("kind", static_cast<int>(command.kind_case()))
            .add("reason", "it cannot be parsed once it is serialised");
        refused.push_back(std::move(batch.handlers[index]));
    }
    batch = std::move(readable);
    for (const auto& on_result : refused) {
        if (on_result) {
            on_result(commit_result::unreadable);
        }
    }
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

bool command_batcher::apply(const log_entry& entry, std::vector<job_state_event>& events) {
    m_outcomes.clear();
    job_wire::job_command_batch batch;
    if (!batch.ParseFromString(entry.payload)) {
        log_event(log_level::error, "command_unreadable").add("index", entry.index);
        return false;
    }
    ++m_batches;
    for (const auto& command : batch.commands()) {
        m_outcomes.push_back(m_job_state.apply(command, events));
        ++m_commands;
    }
    return true;
}

void command_batcher::drop_pending() {
    m_pending->clear_commands();
    const auto handlers = std::move(m_handlers);
    m_handlers.clear();
    on_batch_result(handlers, false, true);
}

} // namespace poplarpitch
