#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/policy/worker_ledger.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// The progress of a task on an owned worker.
enum class task_phase : std::uint8_t {
    to_start,    ///< assigned under this epoch; not sent yet
    starting,    ///< the start was sent; no answer yet
    unconfirmed, ///< assigned or started under an earlier owner or before silence; the worker has not
                 ///< confirmed yet whether it runs
    running,
    stopping,    ///< asked to stop because of a cancellation
    evicting,    ///< asked to write a checkpoint and stop
    withdrawing, ///< asked to stop, because a start was refused after an earlier start whose answer is not
                 ///< known
    ended,       ///< certainly not started; its return to control is being committed to the log
};

/// A task on an owned worker, as known to the owning entry.
struct owned_task {
    std::string job;
    std::uint64_t attempt = 0;
    std::string tenant;
    std::string batch;
    std::string payload;
    std::string checkpoint;
    resources declared; ///< resources that its submitter declared
    resources reserved;
    duration run_time{}; ///< declared
    bool is_idempotent = true;
    bool is_urgent = false;
    bool is_throttled = false;
    int evictions = 0;
    std::uint64_t incarnation = 0;     ///< of the worker's process at the assignment
    bool is_lost_in_log = false;       ///< control has recorded it as lost and waits for its lease to end
    bool is_running_in_log = false;    ///< control has recorded its start
    bool has_unanswered_start = false; ///< a start was sent whose answer was lost or is still pending
    bool is_possibly_lost = false;     ///< its worker was silent, so control may count it as lost
    bool is_stop_answered = false;     ///< while `withdrawing`: no earlier start is executed any more
    std::uint64_t stop_sequence = 0;   ///< newest announcement that may predate that answer
    task_phase phase = task_phase::to_start;
    grant_id grant = 0; ///< its reservation in the worker's ledger; 0 for none
    time_point since{}; ///< when the phase began or the last call was made; zero when a call is due at once
    duration uncheckpointed_work{}; ///< work since the last checkpoint, as last announced by the worker

    friend bool operator==(const owned_task&, const owned_task&) = default;
};

} // namespace poplarpitch
