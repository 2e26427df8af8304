#pragma once

#include <string>
#include <vector>

namespace poplarpitch {

/// A line of a log, and which process wrote it.
struct told_line {
    std::string instance;
    std::string line;

    friend bool operator==(const told_line&, const told_line&) = default;
};

/// What the lines of one job say of its runs.
struct run_history {
    std::vector<std::string> runs; ///< of each run who started it, and on whose word it ended
    std::vector<std::string>
        overlaps; ///< of each two runs of a task that nothing says were one after another

    friend bool operator==(const run_history&, const run_history&) = default;
};

/// Tells the history of runs. Precondition: `lines` name one job and are in the order of their times. Thread
/// safety: any thread.
[[nodiscard]] run_history tell_runs(const std::vector<told_line>& lines);

} // namespace poplarpitch
