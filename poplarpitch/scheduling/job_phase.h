#pragma once

#include <cstdint>

namespace poplarpitch {

/// How far a job is. The numbers stand in snapshots.
enum class job_phase : std::uint8_t {
    open = 0, ///< accepted, not all of it is done
    completed = 1,
    failed = 2,
    cancelled = 3,
};

/// How far a task is. The numbers stand in snapshots.
enum class task_phase : std::uint8_t {
    waiting = 0, ///< nothing of it is assigned
    active = 1,  ///< at least one run is assigned to a worker
    done = 2,
    failed = 3, ///< it failed as often as its queue allows, or crashed its workers
};

/// Returns the phase's name for logs. Thread safety: any thread.
constexpr const char* get_phase_name(job_phase phase) {
    switch (phase) {
    case job_phase::open:
        return "open";
    case job_phase::completed:
        return "completed";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace poplarpitch
