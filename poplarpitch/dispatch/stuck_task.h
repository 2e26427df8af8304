#pragma once

#include "poplarpitch/scheduling/task_key.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Why nothing will complete a task of an open job.
enum class stuck_reason : std::uint8_t {
    not_queued,        ///< it could run, has no run, and is not queued for a worker
    not_tracked,       ///< the replicated job state assigned a run of it that the leader does not track
    not_listed,        ///< the leader has it as running on a worker whose lists lack it
    end_not_committed, ///< its run has ended and the end is not committed
};

/// Returns the reason's name for logs. Thread safety: any thread.
constexpr const char* get_stuck_name(stuck_reason reason) {
    switch (reason) {
    case stuck_reason::not_queued:
        return "not_queued";
    case stuck_reason::not_tracked:
        return "not_tracked";
    case stuck_reason::not_listed:
        return "not_listed";
    case stuck_reason::end_not_committed:
        return "end_not_committed";
    }
    return "unknown";
}

/// A task that makes no progress because of a fault of the leader.
struct stuck_task {
    run_key run; ///< number 0 where no run of it is affected
    stuck_reason reason = stuck_reason::not_queued;

    friend auto operator<=>(const stuck_task&, const stuck_task&) = default;
};

} // namespace poplarpitch
