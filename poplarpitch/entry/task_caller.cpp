#include "poplarpitch/entry/task_caller.h"

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/entry/entry_state.h"
#include "poplarpitch/entry/event_posting.h"
#include "poplarpitch/entry/protocol_names.h"
#include "poplarpitch/entry/session_lease.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/transport/http_client_pool.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace poplarpitch {
namespace {

constexpr duration call_timeout = seconds{2};

} // namespace

task_caller::task_caller(entry_state& state, http_client_pool& workers, event_batcher<control_client>& events,
                         const session_lease& lease)
    : m_state(state), m_workers(workers), m_batcher(events), m_lease(lease) {}

void task_caller::call(const task_action& action) {
    switch (action.verb) {
    case task_verb::stop:
        return send_command(action, "stop");
    case task_verb::evict:
        return send_command(action, "evict");
    case task_verb::throttle:
        return send_command(action, "throttle");
    case task_verb::unthrottle:
        return send_command(action, "unthrottle");
    case task_verb::start:
        break;
    }
    const auto answer = start(action);
    auto events = m_state.on_start_answered(action, answer, get_wall_ms());
    if (!events.empty()) {
        post_events(m_batcher, m_state, std::move(events));
    }
}

start_result task_caller::start(const task_action& action) {
    const auto settings = m_state.get_configuration();
    const nlohmann::json body = {{"lease", absl::StrCat(action.task.job, "#", action.task.attempt)},
                                 {"job", action.task.job},
                                 {"attempt", action.task.attempt},
                                 {"epoch", action.epoch},
                                 {"incarnation", action.task.incarnation},
                                 {"tenant", action.task.tenant},
                                 {"batch", action.task.batch},
                                 {"payload", action.task.payload},
                                 {"checkpoint", action.task.checkpoint},
                                 {"run_time_ms", to_milliseconds(action.task.run_time)},
                                 {"lease_ms", to_milliseconds(settings->system.task_lease)},
                                 {"slots", action.task.reserved.slots},
                                 {"millicores", action.task.reserved.millicores},
                                 {"memory", action.task.reserved.memory},
                                 {"accelerators", action.task.reserved.accelerators},
                                 {"declared_millicores", action.task.declared.millicores},
                                 {"declared_memory", action.task.declared.memory}};
    http_request request;
    request.method = "POST";
    request.target = "/v1/tasks";
    request.body = body.dump();
    request.headers.add("Content-Type", "application/json");
    if (!m_lease.is_valid(m_clock.now())) {
        return start_result::unknown; // not sent; the agent repeats it once the session is valid again
    }
    const auto exchange =
        m_workers.send(action.address, request, m_clock.now() + call_timeout, connection_choice::pooled);
    if (exchange.progress != exchange_progress::answered) {
        m_workers.drop(action.address);
        return start_result::unknown;
    }
    if (exchange.response.status == 200) {
        return start_result::started;
    }
    const auto refused = exchange.response.headers.get(header_refused);
    log_event(log_level::info, "task_refused")
        .add("job", action.task.job)
        .add("worker", action.worker)
        .add("status", exchange.response.status)
        .add("reason", refused);
    if (refused == "stale-epoch") {
        return start_result::stale_epoch;
    }
    if (refused == "other-process") {
        return start_result::other_process;
    }
    return refused.empty() ? start_result::unknown : start_result::refused;
}

void task_caller::send_command(const task_action& action, const char* verb) {
    http_request request;
    request.method = "POST";
    request.target = absl::StrCat("/v1/tasks/", action.task.job, "%23", action.task.attempt, "/", verb);
    request.headers.add(header_epoch, absl::StrCat(action.epoch));
    const auto exchange =
        m_workers.send(action.address, request, m_clock.now() + call_timeout, connection_choice::pooled);
    if (exchange.progress != exchange_progress::answered) {
        m_workers.drop(action.address); // the agent repeats the call
    } else if (action.verb == task_verb::stop && exchange.response.status == 200) {
        m_state.on_stop_answered(action);
    }
}

} // namespace poplarpitch
