#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// Timeouts of a task agent.
struct task_agent_settings {
    duration resend_after = seconds{
        1}; ///< interval after which a call to a worker, or an event, is repeated when it had no effect
    duration capacity_wait = milliseconds{800}; ///< maximum wait for free capacity on the worker; after it
                                                ///< the task is returned to control for a new placement
    duration missing_task_wait =
        seconds{2}; ///< a running task that its worker no longer lists counts as lost after this time

    friend auto operator<=>(const task_agent_settings&, const task_agent_settings&) = default;
};

} // namespace poplarpitch
