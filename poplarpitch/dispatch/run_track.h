#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/end_evidence.h"
#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/dispatch/run_loss.h"
#include "poplarpitch/dispatch/suspect_watch.h"
#include "poplarpitch/dispatch/tail_watch.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace poplarpitch {

struct worker_state;

/// Stage of a run as seen by the leader.
enum class run_stage : std::uint8_t {
    committing, ///< the assignment is being committed; nothing was sent
    adopting,   ///< a former leader or incarnation was assigned the run; the worker's list is awaited
    starting,   ///< the start was sent and is unanswered
    running,    ///< the worker confirmed the start or lists the run
};

/// What the leader knows of one assigned run. It is not replicated: a new leader rebuilds it from the log and
/// the workers' lists.
struct run_track {
    run_key key;
    std::shared_ptr<const step_job> job;
    worker_incarnation assigned_to; ///< by the replicated job state; a former incarnation of `host` where a
                                    ///< later one received the start
    worker_state* host = nullptr;   ///< the worker of the run; valid for as long as it has runs
    image_number image = 0;         ///< image of the run; only of runs that fill or serve
    run_stage stage = run_stage::committing;
    isolation_level isolation = isolation_level::none; ///< isolation with which the task was placed
    bool is_ending = false;                            ///< the end is being committed
    time_point ending_since{};
    end_evidence evidence;     ///< for the end that is being committed
    bool is_confirmed = false; ///< recorded in the replicated job state, or being recorded, that no start of
                               ///< it can reach a later incarnation of its worker
    bool is_stop_wanted = false;
    bool is_stop_answered = false; ///< the worker answered the stop at `stop_answered_at`
    bool is_order_pending = false; ///< a start or stop is in flight
    time_point start_sent{};       ///< when the start was last sent; zero before
    std::uint64_t start_fence = 0; ///< fence of that start
    std::uint32_t starts = 0;      ///< number of times that the start was sent
    time_point idle_since{};       ///< since when the task had not run at the assignment
    time_point assigned_at{};      ///< when this leader began to track the run
    time_point confirmed_at{};     ///< when the start was answered or first listed; zero before
    bool has_known_start = false;  ///< the start was answered, so the run began at `confirmed_at`
    time_point stop_answered_at{};
    time_point listed_at{};  ///< when the worker last listed the run or answered its start
    time_point next_order{}; ///< earliest time of the next start or stop
    std::optional<run_loss>
        loss_of_former_incarnation; ///< set while the run may belong to a former incarnation of the
                                    ///< worker: what its loss says about the task
    bool may_start_late = false;    ///< a start got no answer and may be executed seconds later
    time_point late_start_until{};  ///< until when a relay may still send such a start; zero for none
    std::int64_t percent = 0;
    std::int64_t level = 0;       ///< as in `run_entry`
    int pace = 100;               ///< share of its speed that was ordered and confirmed, percent
    int planned_pace = 100;       ///< share of its speed that is wanted now, percent
    bool is_pace_pending = false; ///< a pace order is in flight
    time_point slow_since{}; ///< since when the planned pace is too low to be useful; zero while it is not
    serving_load own_load;   ///< of a serving task
    tail_watch watch;        ///< of a serving task
    std::int64_t observed_level = 0;   ///< the last tail latency that was processed
    time_point observed_at{};          ///< when a tail latency was last processed
    time_point progress_at{};          ///< up to when its progress was considered for the worker's speed
    std::int64_t progress_percent = 0; ///< its progress at that time
    bool was_at_full_speed = true;     ///< nothing slowed the run by intention when it was last considered
    bool is_pace_known = true;         ///< false after a pace order without an answer

    /// Returns the resources and properties of the run's step. Thread safety: any thread while nobody changes
    /// it.
    [[nodiscard]] const step_spec& get_spec() const { return job->steps[key.task.step.step]; }
    /// Returns true when a start of the run is in flight or may still be executed. This includes a start that
    /// was retried while only the retry was answered. Thread safety: as the track.
    [[nodiscard]] bool may_yet_start() const {
        return may_start_late || (stage == run_stage::starting && is_order_pending);
    }
};

} // namespace poplarpitch
