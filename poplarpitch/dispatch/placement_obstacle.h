#pragma once

#include <array>
#include <cstdint>

namespace poplarpitch {

/// Why a worker is ruled out for a waiting task.
enum class placement_obstacle : std::uint8_t {
    none,                ///< the worker could take the task
    unknown,             ///< no heartbeat, run list or clock yet, or another incarnation answered for it
    leaving,             ///< the worker is draining
    data_centre_drained, ///< an operator has ordered that nothing starts in its data centre
    silent,              ///< the worker does not answer
    room_unknown,        ///< the worker's report of its free room is too old
    set_aside,        ///< its last runs failed, it refused a start, or its tail latencies are far above their
                      ///< targets
    label,            ///< it lacks the label that the task requires
    rack,             ///< the gang is placed in another rack
    room,             ///< its free room is too small
    spread,           ///< it runs the maximum number of tasks of the step
    doubtful,         ///< its last run failed, and the task has one attempt left
    kept_for_suspect, ///< it runs a task that may crash it and is kept free of others
    not_empty,        ///< the task may crash it and waits for a worker without runs
    pressure,         ///< its serving tasks do not tolerate the task's interference
    kept_for_short_tasks, ///< it has no serving task yet and is kept for short tasks
    ticket,               ///< the advice service has not allowed it
};

inline constexpr std::size_t placement_obstacles = 17;

/// Returns the obstacle's name for logs. Thread safety: any thread.
constexpr const char* get_obstacle_name(placement_obstacle obstacle) {
    constexpr std::array<const char*, placement_obstacles> names = {"none",
                                                                    "unknown",
                                                                    "leaving",
                                                                    "data_centre_drained",
                                                                    "silent",
                                                                    "room_unknown",
                                                                    "set_aside",
                                                                    "label",
                                                                    "rack",
                                                                    "room",
                                                                    "spread",
                                                                    "doubtful",
                                                                    "kept_for_suspect",
                                                                    "not_empty",
                                                                    "pressure",
                                                                    "kept_open",
                                                                    "ticket"};
    return names[static_cast<std::size_t>(obstacle)];
}

} // namespace poplarpitch
