#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/placement_obstacle.h"
#include "poplarpitch/scheduling/task_key.h"

#include <array>
#include <compare>
#include <cstdint>

namespace poplarpitch {

/// A task that waits for long though workers have room for it.
struct long_wait {
    task_key task; ///< the first of its step that waits
    duration waited{};
    std::uint64_t waiting = 0;   ///< tasks of its step that wait
    std::uint64_t workers = 0;   ///< of its pool
    std::uint64_t with_room = 0; ///< of them, those that stay and whose free room holds the task
    std::array<std::uint64_t, placement_obstacles>
        passed_over{}; ///< workers by what keeps the task from them

    friend auto operator<=>(const long_wait&, const long_wait&) = default;

    /// Returns how many workers an obstacle stands for. Thread safety: any thread while nobody changes it.
    [[nodiscard]] std::uint64_t count(placement_obstacle obstacle) const {
        return passed_over[static_cast<std::size_t>(obstacle)];
    }
};

} // namespace poplarpitch
