#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/event_batcher.h"
#include "poplarpitch/entry/task_action.h"
#include "poplarpitch/transport/control_client.h"

namespace poplarpitch {

class entry_state;
class http_client_pool;
class session_lease;

/// Makes the calls to workers that the task agent requests, and posts the events that result from the
/// answers. Thread safety: any thread, for all methods.
class task_caller {
public:
    /// Precondition: all referenced objects outlive the caller.
    task_caller(entry_state& state, http_client_pool& workers, event_batcher<control_client>& events,
                const session_lease& lease);

    /// Makes one call and waits for its answer, but not for the commit of the resulting events.
    void call(const task_action& action);

private:
    [[nodiscard]] start_result start(const task_action& action);
    void send_command(const task_action& action, const char* verb);

    entry_state& m_state;
    http_client_pool& m_workers;
    event_batcher<control_client>& m_batcher;
    const session_lease& m_lease;
    const system_clock m_clock{};
};

} // namespace poplarpitch
