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

/// How far the leader has brought a run.
enum class run_stage : std::uint8_t {
    committing, ///< the assignment is on its way into the log; nothing was sent
    adopting,   ///< a former leader assigned it; the worker has not sent its list yet
    starting,   ///< the start was sent; no answer yet
    running,    ///< the worker confirmed the start, or lists it
};

/// What the leader knows of one assigned run. Soft: a new leader makes it anew from the log and the lists.
struct run_track {
    run_key key;
    std::shared_ptr<const step_job> job;
    worker_life assigned_to; ///< by the book: a former life of its host, where its start came to that late
    worker_state* host = nullptr; ///< its worker, which is known for as long as it has runs
    image_number image = 0;       ///< of what it runs; only of runs that fill or serve
    run_stage stage = run_stage::committing;
    isolation_level isolation = isolation_level::none; ///< with which its task was placed
    bool is_ending = false;                            ///< its end is on its way into the log
    time_point ending_since{};
    end_evidence evidence; ///< on which it is ending
    bool is_stop_wanted = false;
    bool is_stop_answered = false; ///< the worker has taken the stop; `stop_answered_at` says when
    bool is_order_pending = false; ///< a start or stop is under way
    time_point start_sent{};       ///< when its start was sent last; zero before
    std::uint64_t start_fence = 0; ///< of that order
    std::uint32_t starts = 0;      ///< how often its start was sent
    time_point claimed_at{};
    time_point confirmed_at{};    ///< when the start was answered or first listed; zero before
    bool has_known_start = false; ///< its start was answered: `confirmed_at` is when it began
    time_point stop_answered_at{};
    time_point listed_at{};  ///< when its worker listed it last, or its start was answered
    time_point next_order{}; ///< earliest time of the next start or stop order
    std::optional<run_loss>
        former_loss;             ///< its start was sent to a former life of its worker, whose loss says this
    bool may_start_late = false; ///< a start had no answer: it may be carried out seconds later
    std::int64_t percent = 0;
    std::int64_t level = 0;          ///< as in `run_row`
    int pace = 100;                  ///< share of its speed that was ordered and answered, percent
    int planned_pace = 100;          ///< share that is wanted now
    bool is_pace_pending = false;    ///< a pace order is under way
    time_point slow_since{};         ///< since when it is wanted too slow to be of use; zero while it is not
    serving_load own_load;           ///< of a serving task
    tail_watch watch;                ///< of a serving task
    std::int64_t observed_level = 0; ///< tail that was last taken up
    time_point observed_at{};        ///< when its tail was last taken up

    /// Returns what the run takes of its worker. Thread safety: any thread while nobody changes it.
    [[nodiscard]] const step_spec& get_spec() const { return job->steps[key.task.step.step]; }
    /// Returns true when a start of the run is under way or may yet be carried out: also one that was
    /// repeated, and the repeated one answered. Thread safety: as the track.
    [[nodiscard]] bool may_yet_start() const {
        return may_start_late || (stage == run_stage::starting && is_order_pending);
    }
};

} // namespace poplarpitch
