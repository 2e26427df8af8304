#pragma once

#include "poplarpitch/scheduling/run_end.h"
#include "poplarpitch/scheduling/task_key.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// A run that a worker says is going on.
struct run_row {
    run_key run;
    std::string saved;        ///< newest checkpoint; empty for none
    std::int64_t percent = 0; ///< of its work; of a long-running task, 100 when it is at work
    std::int64_t level = 0; ///< serving: tail of its answers, ms; others: millicores in use. Last half second

    friend auto operator<=>(const run_row&, const run_row&) = default;
};

/// A run that a worker says has ended, until that is acknowledged.
struct end_row {
    std::uint64_t number = 0; ///< rises from 1 in each life of the worker
    run_key run;
    run_end end = run_end::done;
    std::string saved;

    friend auto operator<=>(const end_row&, const end_row&) = default;
};

/// A worker's complete list.
struct hold_answer {
    std::int64_t clock_ms = 0; ///< the worker's clock
    std::vector<run_row> running;
    std::vector<end_row> ended; ///< at most `max_ended_rows` at a time
    std::int64_t born_ms = 0;   ///< Unix time at which the worker's process started; 0 when not told

    friend bool operator==(const hold_answer&, const hold_answer&) = default;

    /// Returns all runs that it names, in order. Thread safety: any thread while nobody changes it.
    [[nodiscard]] std::vector<run_key> get_listed() const {
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

/// A worker lists no more ends than this in one answer.
inline constexpr std::size_t max_ended_rows = 500;

} // namespace poplarpitch
