#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// How events of tasks are gathered on their way to control.
struct event_batcher_settings {
    duration interval =
        milliseconds{100}; ///< least time between two calls; the first after a rest goes at once
    duration commit_timeout = seconds{2}; ///< of one call; its events are told again by whoever raised them
    duration commit_wait = seconds{5};    ///< longest that a caller of `commit` waits
    std::size_t max_batch = 256;          ///< events of one call; that many go without waiting
    std::size_t max_queued = 4096;        ///< events that wait; more are refused: without control they add up

    friend auto operator<=>(const event_batcher_settings&, const event_batcher_settings&) = default;
};

} // namespace poplarpitch
