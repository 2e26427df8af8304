#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/task_action.h"

namespace poplarpitch {

class control_client;
class entry_state;
class http_client_pool;
class session_lease;

/// Makes the calls to workers that the task agent asks for, and brings their answers into the log.
/// Thread safety: any thread, for all methods.
class task_caller {
public:
    /// Precondition: all parts outlive the caller.
    task_caller(entry_state& state, http_client_pool& workers, control_client& control,
                const session_lease& lease);

    /// Makes one call and waits for its answer.
    void call(const task_action& action);

private:
    [[nodiscard]] start_result start(const task_action& action);
    void tell(const task_action& action, const char* verb);

    entry_state& m_state;
    http_client_pool& m_workers;
    control_client& m_control;
    const session_lease& m_lease;
    const system_clock m_clock{};
};

} // namespace poplarpitch
