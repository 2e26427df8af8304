#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// Limits for batching the events of tasks that are sent to control.
struct event_batcher_settings {
    duration interval =
        milliseconds{100}; ///< minimum time between two calls; the first after an idle period is sent at once
    duration commit_timeout = seconds{2}; ///< of one call; its events are then raised again by their source
    duration commit_wait = seconds{5};    ///< maximum time that a caller of `commit` waits
    std::size_t max_batch = 256;          ///< events at which a batch is sent without waiting
    std::size_t max_queued = 4096; ///< maximum queued events; more are refused, because they accumulate while
                                   ///< control is unreachable

    friend auto operator<=>(const event_batcher_settings&, const event_batcher_settings&) = default;
};

} // namespace poplarpitch
