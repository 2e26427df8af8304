#pragma once

#include <array>
#include <cstdint>

namespace poplarpitch {

/// Why a worker is passed over for a waiting task.
enum class placement_obstacle : std::uint8_t {
    none,             ///< it could take the task
    unknown,          ///< it has not sent its heartbeat, list and clock yet, or another life answered for it
    leaving,          ///< it leaves
    silent,           ///< it does not answer
    room_unknown,     ///< what it told of its room is too old
    set_aside,        ///< its last runs failed, it refused a start, or its tails are beyond all bounds
    label,            ///< it lacks the label that the task requires
    rack,             ///< the gang goes to another rack
    room,             ///< what is reserved there leaves too little
    spread,           ///< it runs as many tasks of the step as it may
    doubtful,         ///< its last run failed, and the task has one attempt left
    kept_for_suspect, ///< it runs a task that may crash it, and nothing else is to be there
    not_empty,        ///< the task may crash it and waits for a worker that runs nothing
    pressure,         ///< its serving tasks bear no such task beside them
    kept_open,        ///< it serves nothing yet and is kept for short tasks
    ticket,           ///< the advice service has not allowed it
};

inline constexpr std::size_t placement_obstacles = 16;

/// Returns the obstacle's name for logs. Thread safety: any thread.
constexpr const char* get_obstacle_name(placement_obstacle obstacle) {
    constexpr std::array<const char*, placement_obstacles> names = {
        "none",      "unknown",  "leaving",   "silent", "room_unknown", "set_aside",
        "label",     "rack",     "room",      "spread", "doubtful",     "kept_for_suspect",
        "not_empty", "pressure", "kept_open", "ticket"};
    return names[static_cast<std::size_t>(obstacle)];
}

} // namespace poplarpitch
