#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/worker_state.h"

#include <algorithm>
#include <optional>

namespace poplarpitch {

/// Returns the maximum age of the run when its worker stopped answering, or nothing while that is unknown.
/// Precondition: the run has a worker. Thread safety: any thread while no thread modifies the objects.
inline std::optional<duration> get_age_at_loss(const run_track& track, time_point now) {
    if (track.stage == run_stage::adopting) {
        return std::nullopt; // an earlier leader started it
    }
    const auto& worker = *track.host;
    const auto begin = track.confirmed_at == time_point{} ? track.assigned_at : track.confirmed_at;
    const auto end = worker.hold_failures > 0 ? worker.failing_since : now;
    return std::max(end - begin, duration{0});
}

} // namespace poplarpitch
