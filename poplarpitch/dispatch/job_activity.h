#pragma once

#include "poplarpitch/core/time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace poplarpitch {

/// Whether a job counts as starving, and if not, what keeps it from that.
enum class starving_state : std::uint8_t {
    starving,
    has_runs,    ///< the leader holds runs of it, at work or not
    pool_in_use, ///< half of its pool is reserved, or more
    too_early,   ///< its last run has ended just now
};

/// Returns the state's name for logs. Thread safety: any thread.
constexpr const char* get_starving_name(starving_state state) {
    switch (state) {
    case starving_state::starving:
        return "yes";
    case starving_state::has_runs:
        return "has_runs";
    case starving_state::pool_in_use:
        return "pool_in_use";
    case starving_state::too_early:
        return "too_early";
    }
    return "unknown";
}

/// How far a run is that the leader holds.
enum class held_run_state : std::uint8_t {
    committing, ///< its assignment is being committed
    adopting,   ///< a former leader or incarnation was assigned it, and no list has shown it yet
    starting,   ///< its start has no answer
    running,    ///< its start was answered or a list has shown it
    ending,     ///< its end is being committed
};

inline constexpr std::size_t held_run_states = 5;

/// Returns the name for logs. Thread safety: any thread.
constexpr const char* get_held_run_state_name(held_run_state state) {
    constexpr std::array<const char*, held_run_states> names = {"committing", "adopting", "starting",
                                                                "running", "ending"};
    return names[static_cast<std::size_t>(state)];
}

/// What the leader holds of a job at work, and of the pool around it.
struct job_activity {
    starving_state starving = starving_state::too_early;
    std::array<std::uint64_t, held_run_states> runs{}; ///< number by state
    duration still{};                     ///< for how long no run of it is known to have been at work
    std::int64_t pool_core_percent = 0;   ///< reserved share of the processor time of its pool
    std::int64_t pool_memory_percent = 0; ///< the same of the memory

    friend auto operator<=>(const job_activity&, const job_activity&) = default;

    /// Returns the number of runs in this state. Thread safety: any thread while nobody changes it.
    [[nodiscard]] std::uint64_t count(held_run_state state) const {
        return runs[static_cast<std::size_t>(state)];
    }
};

} // namespace poplarpitch
