#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <span>

namespace poplarpitch {

/// A running task that might be evicted.
struct eviction_candidate {
    double growth = 0;      ///< latency growth it is thought to cause
    duration unsaved{};     ///< work since its last checkpoint, lost or repeated when it moves
    int evictions = 0;      ///< how often it was evicted before
    bool is_movable = true; ///< false: not idempotent, urgent or on its way out already

    friend auto operator<=>(const eviction_candidate&, const eviction_candidate&) = default;
};

/// Picks the task whose eviction relieves most for the work it costs; none when no task is to blame. A task
/// that was evicted before counts as dearer, so that the same one is not hunted from worker to worker. Thread
/// safety: any thread.
[[nodiscard]] std::optional<std::size_t> pick_eviction(std::span<const eviction_candidate> candidates);

} // namespace poplarpitch
