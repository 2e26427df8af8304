#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>

namespace poplarpitch {

/// Progress of a run of a task.
struct run_progress {
    duration age{};               ///< since the run began to work
    std::int64_t percent = 0;     ///< share of its work that is done; 0 also while no progress was reported
    std::int64_t estimate_ms = 0; ///< for the whole task on a sound worker, given by its caller

    friend bool operator==(const run_progress&, const run_progress&) = default;
};

/// Returns true when a second run of the task, started now on another worker, would probably end first.
///
/// Load pattern: a tenth to a sixth of the workers become slow (5 to 8 times) or stall for 5 to 8 s, and
/// estimates are off by 50% in either direction. A run is therefore left alone until it has clearly exceeded
/// its estimate. After that, the decision uses the speed that the run has shown. Thread safety: any thread.
[[nodiscard]] bool needs_copy(const run_progress& progress);

} // namespace poplarpitch
