#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/run_end.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

struct end_row;
struct run_track;
struct worker_state;

/// What a new leader found.
struct takeover {
    log_term term = 0;
    std::uint64_t fence = 0;
    std::uint64_t open_jobs = 0;
    std::uint64_t runs = 0;    ///< assigned and not ended
    std::uint64_t workers = 0; ///< that have such runs
    std::uint64_t waiting = 0; ///< tasks that wait for a worker

    friend auto operator<=>(const takeover&, const takeover&) = default;
};

/// What is told of runs, so that from a job's id alone their history can be read in the logs of those
/// instances that are left. Thread safety: any thread while nobody changes what is passed, for all.

/// Tells that a run is there, and on what ground the leader of `term` takes it for that.
void log_run_started(const run_track& track, const char* reason, log_term term, time_point now);
/// Tells what became of a run that a former leader assigned, or that was given to a former life.
void log_run_taken_over(const run_track& track, const char* found, log_term term);
/// Tells how a run ended, and on whose word.
void log_run_ended(const run_track& track, run_end end, log_term term, time_point now);
/// Tells that a worker lists an end that changes nothing. `track`: of that run; null where it is not known.
void log_unknown_end(const worker_state& worker, const run_track* track, const end_row& row);
/// Tells what a new leader took over.
void log_takeover(const takeover& taken);

} // namespace poplarpitch
