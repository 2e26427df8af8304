#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/policy/worker_ledger.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// How far an entry has come with a task on a worker it owns.
enum class task_phase : std::uint8_t {
    to_start,    ///< assigned under this epoch; not sent yet
    starting,    ///< sent; no answer yet
    unconfirmed, ///< of an earlier owner; the worker has not said yet whether it runs
    running,
    stopping,    ///< told to stop, for a cancellation
    evicting,    ///< told to checkpoint and stop
    withdrawing, ///< told to stop, since a start was refused after one whose answer is not known
    ended,       ///< its end is being committed
};

/// A task on an owned worker, as its owner sees it.
struct owned_task {
    std::string job;
    std::uint64_t attempt = 0;
    std::string tenant;
    std::string batch;
    std::string payload;
    std::string checkpoint;
    resources declared; ///< need that its submitter declared
    resources reserved;
    duration run_time{}; ///< declared
    bool is_idempotent = true;
    bool is_urgent = false;
    bool is_throttled = false;
    int evictions = 0;
    std::uint64_t incarnation = 0;     ///< of the worker's process when it was assigned
    bool is_lost_in_log = false;       ///< control waits for its lease to end
    bool is_running_in_log = false;    ///< control knows that it was started
    bool has_unanswered_start = false; ///< a start was sent whose answer is lost or still to come
    bool is_possibly_lost = false;     ///< its worker was silent: control may count it as lost
    bool is_stop_answered = false;     ///< while it is withdrawn: no start is carried out any more
    std::uint64_t stop_sequence = 0;   ///< newest announcement that may be older than that answer
    task_phase phase = task_phase::to_start;
    grant_id grant = 0; ///< in the worker's ledger; 0 while it holds nothing
    time_point since{}; ///< when the phase began
    duration unsaved{}; ///< as the worker last told

    friend bool operator==(const owned_task&, const owned_task&) = default;
};

} // namespace poplarpitch
