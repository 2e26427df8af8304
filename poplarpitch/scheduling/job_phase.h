#pragma once

#include <cstdint>

namespace poplarpitch {

/// State of a job. The numeric values are stored in snapshots.
enum class job_phase : std::uint8_t {
    open = 0, ///< accepted and not yet finished
    completed = 1,
    failed = 2,
    cancelled = 3,
};

/// State of a task. The numeric values are stored in snapshots.
enum class task_phase : std::uint8_t {
    waiting = 0, ///< no run is assigned
    active = 1,  ///< at least one run is assigned to a worker
    done = 2,
    failed = 3, ///< failed as often as its queue allows, or crashed its workers
};

/// Returns the name of the phase in logs. Thread safety: any thread.
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
