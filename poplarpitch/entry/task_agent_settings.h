#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// How long a task agent waits.
struct task_agent_settings {
    duration resend_after = seconds{1}; ///< a call to a worker, or an event, without effect is repeated
    duration capacity_wait =
        milliseconds{800}; ///< for room on the worker, before control places the task anew
    duration missing_task_wait =
        seconds{2}; ///< a running task that its worker lists no more is lost after this

    friend auto operator<=>(const task_agent_settings&, const task_agent_settings&) = default;
};

} // namespace poplarpitch
