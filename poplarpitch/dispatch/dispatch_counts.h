#pragma once

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// What a dispatcher has done since it was made, for metrics.
struct dispatch_counts {
    std::uint64_t assigned = 0;      ///< runs proposed
    std::uint64_t started = 0;       ///< starts that a worker confirmed
    std::uint64_t refused_room = 0;  ///< starts refused for want of room
    std::uint64_t refused_other = 0; ///< starts refused for another reason
    std::uint64_t refused_jobs = 0;  ///< jobs that were not taken
    std::uint64_t unanswered = 0;    ///< orders without an answer
    std::uint64_t not_sent = 0;      ///< orders for which no connection was free in time
    std::uint64_t copies = 0;        ///< second runs of slow tasks, among `assigned`
    std::uint64_t stops = 0;         ///< stop orders
    std::uint64_t paces = 0;         ///< pace orders
    std::uint64_t holds = 0;         ///< looks at workers
    std::uint64_t lost_runs = 0;     ///< runs given up because their worker was lost
    std::uint64_t crashes = 0;       ///< tasks under which a worker crashed, each time
    std::uint64_t given_up = 0;      ///< of them, those whose job was given up for it
    std::uint64_t failed_runs = 0;
    std::uint64_t done_runs = 0;
    std::uint64_t stuck_tasks = 0; ///< at the last look, tasks that nothing will bring to their end

    friend auto operator<=>(const dispatch_counts&, const dispatch_counts&) = default;
};

} // namespace poplarpitch
