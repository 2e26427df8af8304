#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/run_end.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

struct job_state_event;
struct run_end_entry;
struct run_track;
struct worker_state;

/// What a new leader found when it took over.
struct takeover {
    log_term term = 0;
    std::uint64_t fence = 0;
    std::uint64_t open_jobs = 0;
    std::uint64_t runs = 0;    ///< assigned and not ended
    std::uint64_t workers = 0; ///< workers with such runs
    std::uint64_t waiting = 0; ///< tasks that wait for a worker

    friend auto operator<=>(const takeover&, const takeover&) = default;
};

/// Log lines about runs. They allow the history of a job's runs to be read from its id alone, in the logs of
/// the instances that survive. Thread safety of all functions: any thread while nobody changes the arguments.

/// Logs that a run has started, and why the leader of `term` considers it started.
void log_run_started(const run_track& track, const char* reason, log_term term, time_point now);
/// Logs what became of a run that a former leader assigned, or that was assigned to a former incarnation.
void log_run_taken_over(const run_track& track, const char* found, log_term term);
/// Logs how a run ended, and the evidence for it.
void log_run_ended(const run_track& track, run_end end, log_term term, time_point now);
/// Logs how an `attempt_failed` event changed the failed attempts of its task or gang, and in a second line
/// that this fails the job. `run_ended` lines of the same run tell how the other members of a gang ended.
void log_attempt_failed(const job_state_event& event, log_term term);
/// Logs a listed end that changes nothing. `track`: of that run; null where the run is not known.
void log_unknown_end(const worker_state& worker, const run_track* track, const run_end_entry& row);
/// Logs that no task is placed on a worker for some time, and why. Shorter pauses, such as the one after a
/// single failed run, are not logged.
void log_set_aside(const worker_state& worker, const char* reason, time_point now);
/// Logs what a new leader took over.
void log_takeover(const takeover& taken);

} // namespace poplarpitch
