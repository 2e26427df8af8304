#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// Intervals and limits of an entry process.
struct entry_settings {
    duration renew_interval = milliseconds{400}; ///< of the session with control; the answers also deliver
                                                 ///< updates. Three renewals fit into a lease
    duration tick_interval = milliseconds{100};  ///< of checks of tasks, silence and overload relief
    duration drain_wait = seconds{30}; ///< maximum wait for requests in flight at a planned shutdown
    duration drain_grace =
        milliseconds{700}; ///< not ready but still serving, until the load balancer notices
    int task_threads = 8;  ///< maximum number of concurrent task calls to workers

    friend auto operator<=>(const entry_settings&, const entry_settings&) = default;
};

} // namespace poplarpitch
