#include "poplarpitch/entry/announce_handler.h"

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/entry/announcement_codec.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/session_lease.h"
#include "poplarpitch/state/amounts_codec.h"
#include "poplarpitch/state/state_error.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/metrics_registry.h"

#include <chrono>

namespace poplarpitch {
namespace {

constexpr duration control_timeout = seconds{2};

http_response make_answer(const announce_answer& answer) {
    http_response response;
    response.body = encode_announce_answer(answer);
    return response;
}

/// Returns true when the report needs no repetition: it was applied, or the job has moved on and no longer
/// needs it.
bool is_final(std::uint32_t code) {
    return code == 0 || code == static_cast<std::uint32_t>(state_errc::stale_attempt) ||
           code == static_cast<std::uint32_t>(state_errc::unknown_job);
}

} // namespace

announce_handler::announce_handler(entry_state& state, control_client& control,
                                   event_batcher<control_client>& events, const session_lease& lease,
                                   metrics_registry& metrics, std::string entry_id, std::string own_address)
    : m_state(state), m_control(control), m_batcher(events), m_lease(lease), m_metrics(metrics),
      m_entry_id(std::move(entry_id)), m_own_address(std::move(own_address)) {}

http_response announce_handler::handle(const http_request& request) {
    auto decoded = decode_announcement(request.body);
    if (const auto* error = std::get_if<codec_error>(&decoded)) {
        log_event(log_level::warn, "bad_announcement").add("reason", error->message);
        return make_error_response(400, "bad_announcement", error->message);
    }
    const auto& message = std::get<announcement>(decoded);
    if (!m_lease.is_valid(m_clock.now())) {
        // Without a valid session, ownership is uncertain; the worker has to announce itself to another
        // entry.
        return make_error_response(503, "no_control", "this entry has no contact with control");
    }
    std::string refusal;
    switch (m_state.get_worker_status(message)) {
    case entry_state::worker_status::changed_address:
        return make_error_response(409, "address_taken", "another target uses this id at another address");
    case entry_state::worker_status::owned_silent:
        if (!register_worker(message, refusal)) {
            return make_error_response(409, "refused", refusal);
        }
        end_silence(message);
        break;
    case entry_state::worker_status::record_outdated:
        if (!register_worker(message, refusal)) {
            return make_error_response(409, "refused", refusal);
        }
        break;
    case entry_state::worker_status::owned:
        break;
    case entry_state::worker_status::not_owned:
        return answer_not_owned(message);
    }
    return answer_owned(message);
}

http_response announce_handler::answer_owned(const announcement& message) {
    announce_answer answer;
    answer.owner = m_entry_id;
    answer.owner_address = m_own_address;
    commit_events(message, answer);
    // Filled in after the commit, so that a task that was just taken over can have its lease renewed by this
    // answer.
    m_state.fill_answer(message, m_lease.is_valid(m_clock.now()), answer);
    return make_answer(answer);
}

void announce_handler::commit_events(const announcement& message, announce_answer& answer) {
    const auto events = m_state.apply_announcement(message, get_wall_ms());
    if (events.empty()) {
        return;
    }
    std::vector<wire::command> commands;
    commands.reserve(events.size());
    for (const auto& event : events) {
        commands.push_back(event.command);
    }
    const auto outcomes = m_batcher.commit(std::move(commands));
    if (!outcomes) {
        return; // no report is acknowledged, so the worker sends them again
    }
    for (std::size_t index = 0; index < events.size(); ++index) {
        handle_event_outcome(message, events[index], outcomes.value()[index], answer);
    }
}

void announce_handler::handle_event_outcome(const announcement& message,
                                            const task_agent::reported_event& event,
                                            const wire::command_result& outcome, announce_answer& answer) {
    if (!is_final(outcome.code())) {
        log_event(log_level::warn, "report_refused")
            .add("worker", message.id)
            .add("job", event.command.event().job())
            .add("reason", outcome.message());
        return;
    }
    m_state.on_event_committed(message.id, event.command.event());
    if (event.report != 0) {
        answer.acknowledged.push_back(event.report);
    }
    const auto& job = outcome.job_record();
    if (event.command.event().kind() == wire::event_finished && outcome.code() == 0) {
        m_metrics.count("poplarpitch_jobs_done_total", {job.tenant(), job.batch(), ""});
    }
    if (event.command.event().kind() == wire::event_evicted && outcome.code() == 0) {
        m_metrics.count("poplarpitch_evictions_total", {job.tenant(), job.batch(), ""});
    }
}

bool announce_handler::register_worker(const announcement& message, std::string& refusal) {
    wire::command command;
    auto& worker = *command.mutable_register_target()->mutable_registered();
    worker.set_id(message.id);
    worker.set_address(message.address);
    worker.set_data_centre(message.data_centre);
    worker.set_rack(message.rack);
    worker.set_speed_class(message.speed_class);
    worker.mutable_services()->Assign(message.services.begin(), message.services.end());
    encode(message.capacity, *worker.mutable_capacity());
    worker.set_incarnation(message.incarnation);
    const auto outcome = m_control.propose(command, m_clock.now() + control_timeout);
    if (!outcome) {
        refusal = outcome.error().message();
        return false;
    }
    if (outcome.value().code() != 0) {
        refusal = outcome.value().message();
        return false;
    }
    log_event(log_level::info, "worker_registered").add("worker", message.id).add("address", message.address);
    return true;
}

void announce_handler::end_silence(const announcement& message) {
    m_state.end_silence(message.id);
    log_event(log_level::info, "worker_heard_again").add("worker", message.id);
}

http_response announce_handler::answer_not_owned(const announcement& message) {
    announce_answer answer;
    find_owner(message, answer);
    const auto settings = m_state.get_configuration();
    answer.interval = settings->system.announce_interval;
    answer.task_lease = settings->system.task_lease;
    return make_answer(answer);
}

void announce_handler::find_owner(const announcement& message, announce_answer& answer) {
    wire::query_request request;
    request.set_kind(wire::query_worker);
    request.set_name(message.id);
    const auto found = m_control.query(request, m_clock.now() + control_timeout);
    if (!found) {
        return;
    }
    std::string refusal;
    if (!found.value().found()) {
        if (!register_worker(message, refusal)) {
            log_event(log_level::warn, "register_refused").add("worker", message.id).add("reason", refusal);
        }
        return; // the leader assigns an owner shortly
    }
    const auto& worker = found.value().workers(0);
    answer.owner = worker.owner();
    if (worker.owner().empty()) {
        return;
    }
    wire::query_request members;
    members.set_kind(wire::query_members);
    const auto sessions = m_control.query(members, m_clock.now() + control_timeout);
    if (!sessions) {
        return;
    }
    for (const auto& session : sessions.value().sessions()) {
        if (session.entry() == worker.owner()) {
            answer.owner_address = session.http_address();
        }
    }
}

} // namespace poplarpitch
