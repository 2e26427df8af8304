#pragma once

#include "poplarpitch/scheduling/run_end.h"
#include "poplarpitch/scheduling/task_key.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// A run that a worker reports as running.
struct run_entry {
    run_key run;
    std::string checkpoint;   ///< newest checkpoint; empty for none
    std::int64_t percent = 0; ///< progress of its work; for a long-running task, 100 when it is working
    std::int64_t level = 0;   ///< for a serving task, the tail latency of its answers in ms; for others, the
                              ///< millicores in use; both over the last half second

    friend auto operator<=>(const run_entry&, const run_entry&) = default;
};

/// A run that a worker reports as ended, until the end is acknowledged.
struct run_end_entry {
    std::uint64_t number = 0; ///< increases from 1 in each incarnation of the worker
    run_key run;
    run_end end = run_end::done;
    std::string checkpoint;

    friend auto operator<=>(const run_end_entry&, const run_end_entry&) = default;
};

/// A worker's answer to a hold order: the complete list of its runs.
struct hold_answer {
    std::int64_t clock_ms = 0; ///< the worker's clock
    std::vector<run_entry> running;
    std::vector<run_end_entry> ended; ///< at most `max_ended_rows` in one answer
    std::int64_t process_start_ms =
        0; ///< Unix time at which the worker's process started; 0 when not reported

    friend bool operator==(const hold_answer&, const hold_answer&) = default;

    /// Returns the keys of all listed runs, sorted. Thread safety: any thread while no thread modifies the
    /// object.
    [[nodiscard]] std::vector<run_key> get_listed_runs() const {
        std::vector<run_key> listed;
        listed.reserve(running.size() + ended.size());
        for (const auto& row : running) {
            listed.push_back(row.run);
        }
        for (const auto& row : ended) {
            listed.push_back(row.run);
        }
        std::sort(listed.begin(), listed.end());
        return listed;
    }
};

/// Maximum number of ends that a worker lists in one answer.
inline constexpr std::size_t max_ended_rows = 500;

} // namespace poplarpitch
