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

/// Handles the announcements of targets. Redirects a worker that another entry owns and registers a new one.
/// Acknowledges a report only after its event was committed; the worker repeats the report until then. Thread
/// safety: any thread, for all methods.
class announce_handler {
public:
    /// Precondition: all referenced objects outlive the handler.
    announce_handler(entry_state& state, control_client& control, event_batcher<control_client>& events,
                     const session_lease& lease, metrics_registry& metrics, std::string entry_id,
                     std::string own_address);

    /// Handles a request to /v1/targets/announce.
    http_response handle(const http_request& request);

private:
    http_response answer_owned(const announcement& message);
    http_response answer_not_owned(const announcement& message);
    /// Updates control's record of the worker. Returns false and sets `refusal` to the reason when that
    /// fails.
    bool register_worker(const announcement& message, std::string& refusal);
    void commit_events(const announcement& message, announce_answer& answer);
    void handle_event_outcome(const announcement& message, const task_agent::reported_event& event,
                              const wire::command_result& outcome, announce_answer& answer);
    void end_silence(const announcement& message);
    void find_owner(const announcement& message, announce_answer& answer);

    entry_state& m_state;
    control_client& m_control;
    event_batcher<control_client>& m_batcher;
    const session_lease& m_lease;
    metrics_registry& m_metrics;
    const std::string m_entry_id;
    const std::string m_own_address;
    const system_clock m_clock{};
};

} // namespace poplarpitch
