#pragma once

#include "poplarpitch/scheduling/task_key.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Why nothing will complete a task of an open job.
enum class stuck_reason : std::uint8_t {
    not_queued,        ///< it could run, has no run, and is not queued for a worker
    not_waiting,       ///< it is queued for a worker although it has a run or has ended
    not_tracked,       ///< the replicated job state assigned a run of it that the leader does not track
    not_assigned,      ///< the leader tracks a run of it that has ended by the replicated job state
    not_listed,        ///< the leader has it as running on a worker whose lists lack it
    not_committed,     ///< it was given to a worker and the assignment is not committed
    end_not_committed, ///< its run has ended and the end is not committed
    not_opened,        ///< its job was accepted by the replicated job state and is not known to the leader
    not_closed,        ///< its job has ended by the replicated job state and the leader has it as open
};

/// Returns the reason's name for logs. Thread safety: any thread.
constexpr const char* get_stuck_name(stuck_reason reason) {
    switch (reason) {
    case stuck_reason::not_queued:
        return "not_queued";
    case stuck_reason::not_waiting:
        return "not_waiting";
    case stuck_reason::not_tracked:
        return "not_tracked";
    case stuck_reason::not_assigned:
        return "not_assigned";
    case stuck_reason::not_listed:
        return "not_listed";
    case stuck_reason::not_committed:
        return "not_committed";
    case stuck_reason::end_not_committed:
        return "end_not_committed";
    case stuck_reason::not_opened:
        return "not_opened";
    case stuck_reason::not_closed:
        return "not_closed";
    }
    return "unknown";
}

/// A task that makes no progress because of a fault of the leader.
struct stuck_task {
    run_key run; ///< number 0 where no run of it is affected; task 0 of step 0 where the whole job is
    stuck_reason reason = stuck_reason::not_queued;

    friend auto operator<=>(const stuck_task&, const stuck_task&) = default;
};

} // namespace poplarpitch
