#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>

namespace poplarpitch {

/// How far a run of a task is.
struct run_progress {
    duration age{};               ///< since it began to work
    std::int64_t percent = 0;     ///< of its work; 0 also while it has told nothing
    std::int64_t estimate_ms = 0; ///< of the whole task on a sound worker, by its caller

    friend bool operator==(const run_progress&, const run_progress&) = default;
};

/// Returns true when a second run of the task, begun now on another worker, would probably end first.
///
/// Load pattern: a tenth to a sixth of the workers turn slow (5 to 8 times) or stand still for 5 to 8 s,
/// while estimates are off by half either way. So a run is left alone until it has taken well over its
/// estimate, and is compared by the speed it has shown. Thread safety: any thread.
[[nodiscard]] bool needs_copy(const run_progress& progress);

} // namespace poplarpitch
