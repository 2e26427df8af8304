#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/announcement.h"
#include "poplarpitch/entry/event_batcher.h"
#include "poplarpitch/entry/task_agent.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/transport/control_client.h"

#include <string>

namespace poplarpitch {

class entry_state;
class metrics_registry;
class session_lease;

/// Answers targets that announce themselves. A worker of another entry is told where to go; a new one is
/// registered. A report is acknowledged only after its event was committed, so the worker sends it again
/// until then. Thread safety: any thread, for all methods.
class announce_handler {
public:
    /// Precondition: all parts outlive the handler.
    announce_handler(entry_state& state, control_client& control, event_batcher<control_client>& events,
                     const session_lease& lease, metrics_registry& metrics, std::string entry_id,
                     std::string own_address);

    /// Answers a request to /v1/targets/announce.
    http_response handle(const http_request& request);

private:
    http_response answer_owned(const announcement& message);
    http_response answer_not_owned(const announcement& message);
    /// Brings control's record of the worker up to date; returns an error answer when that is refused.
    bool register_worker(const announcement& message, std::string& refusal);
    void commit_events(const announcement& message, announce_answer& answer);
    void handle_event_outcome(const announcement& message, const task_agent::reported_event& event,
                              const wire::command_result& outcome, announce_answer& answer);
    void end_silence(const announcement& message);
    void find_owner(const announcement& message, announce_answer& answer);

    entry_state& m_state;
    control_client& m_control;
    event_batcher<control_client>& m_events;
    const session_lease& m_lease;
    metrics_registry& m_metrics;
    const std::string m_entry_id;
    const std::string m_own_address;
    const system_clock m_clock{};
};

} // namespace poplarpitch
