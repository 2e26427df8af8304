#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <span>

namespace poplarpitch {

/// A running task that might be evicted.
struct eviction_candidate {
    double growth = 0; ///< estimated growth of latency that it causes
    duration
        uncheckpointed_work{}; ///< work since its last checkpoint, which is lost or repeated when it moves
    int evictions = 0;         ///< number of earlier evictions
    bool is_movable = true;    ///< false: not idempotent, urgent or already being moved away

    friend auto operator<=>(const eviction_candidate&, const eviction_candidate&) = default;
};

/// Picks the task whose eviction gives the most relief for the work it costs; none when no task slows the
/// services noticeably. Each earlier eviction raises a task's cost, so that the same task is not moved from
/// worker to worker. Thread safety: any thread.
[[nodiscard]] std::optional<std::size_t> pick_eviction(std::span<const eviction_candidate> candidates);

} // namespace poplarpitch
