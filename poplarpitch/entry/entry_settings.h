#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// How an entry runs.
struct entry_settings {
    duration renew_interval =
        milliseconds{400}; ///< of the control session, which is also how news comes; three fit into a lease
    duration tick_interval = milliseconds{100}; ///< of tasks, silence and relief
    duration drain_wait = seconds{30};          ///< longest wait for requests in flight at a planned stop
    duration drain_grace =
        milliseconds{700}; ///< unready but still serving: the balancer needs a moment to see it
    int task_threads = 8;  ///< calls to workers about tasks at the same time

    friend auto operator<=>(const entry_settings&, const entry_settings&) = default;
};

} // namespace poplarpitch
