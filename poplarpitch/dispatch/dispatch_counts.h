#pragma once

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Counters of a dispatcher since its construction, for metrics.
struct dispatch_counts {
    std::uint64_t assigned = 0;      ///< assignments proposed
    std::uint64_t started = 0;       ///< starts that a worker confirmed
    std::uint64_t refused_room = 0;  ///< starts refused because the worker had too little room
    std::uint64_t refused_other = 0; ///< starts refused for any other reason
    std::uint64_t refused_jobs = 0;  ///< jobs refused at submission
    std::uint64_t unanswered = 0;    ///< orders that got no answer
    std::uint64_t not_sent = 0;      ///< orders for which no connection was free in time
    std::uint64_t copies = 0;        ///< second runs of slow tasks, included in `assigned`
    std::uint64_t stops = 0;         ///< stop orders
    std::uint64_t pace_orders = 0;   ///< pace orders
    std::uint64_t hold_orders = 0;   ///< requests for a worker's run list
    std::uint64_t lost_runs = 0;     ///< runs ended because their worker was lost
    std::uint64_t crashes = 0;       ///< crashes of a worker, counted once for each task that ran there
    std::uint64_t jobs_given_up = 0; ///< those of `crashes` after which the task's job was given up
    std::uint64_t failed_runs = 0;
    std::uint64_t failed_attempts = 0;      ///< failed runs that count against their queue's `max_attempts`
    std::uint64_t jobs_out_of_attempts = 0; ///< jobs that failed because a task or gang had no attempt left
    std::uint64_t done_runs = 0;
    std::uint64_t refused_late = 0;    ///< those of `refused_jobs` that would have been completed too late
    std::uint64_t promised_jobs = 0;   ///< gauge: refused jobs that were told when to return and have not yet
    std::uint64_t learned_bytes = 0;   ///< written to the log for the next leader
    std::uint64_t slow_workers = 0;    ///< gauge: workers that are slow compared with their pool
    std::uint64_t moved_from_slow = 0; ///< tasks stopped on slow workers to run elsewhere
    std::uint64_t stuck_tasks = 0; ///< gauge, at the last audit: tasks that nothing would complete without it
    std::uint64_t leader_differences = 0; ///< gauge, at the last audit: other faults of the leader's state
    std::uint64_t mended_differences = 0; ///< faults of both kinds that an audit has mended

    friend auto operator<=>(const dispatch_counts&, const dispatch_counts&) = default;
};

} // namespace poplarpitch
