#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/job_activity.h"
#include "poplarpitch/dispatch/placement_obstacle.h"
#include "poplarpitch/scheduling/task_key.h"

#include <array>
#include <compare>
#include <cstdint>

namespace poplarpitch {

/// A task that has waited for long although workers have room for it.
struct long_wait {
    task_key task; ///< the first waiting task of its step
    duration waited{};
    std::uint64_t waiting = 0; ///< waiting tasks of its step
    std::uint64_t workers = 0; ///< workers of its pool
    std::uint64_t with_room =
        0; ///< of `workers`, those that are not draining and have enough free room for the task
    std::int64_t free_millicores = 0; ///< free on all workers that answer and are not draining, in pieces
                                      ///< that may be too small
    std::int64_t most_free_millicores = 0; ///< the largest of these pieces
    std::array<std::uint64_t, placement_obstacles>
        passed_over{}; ///< number of workers by the obstacle that rules them out
    std::array<std::uint64_t, placement_obstacles>
        with_room_by_obstacle{}; ///< the same, of those counted in `with_room`
    job_activity job;            ///< of the task's job

    friend auto operator<=>(const long_wait&, const long_wait&) = default;

    /// Returns how many workers are ruled out by an obstacle. Thread safety: any thread while nobody changes
    /// it.
    [[nodiscard]] std::uint64_t count(placement_obstacle obstacle) const {
        return passed_over[static_cast<std::size_t>(obstacle)];
    }
};

} // namespace poplarpitch
