#pragma once

#include <string>
#include <vector>

namespace poplarpitch {

/// A log line and the process that wrote it.
struct log_line {
    std::string instance;
    std::string line;

    friend bool operator==(const log_line&, const log_line&) = default;
};

/// The runs of one job as its log lines record them.
struct run_history {
    std::vector<std::string> runs; ///< for each run, who started it and what ended it
    /// Each pair of runs of one task for which no line shows that the first ended before the second began.
    std::vector<std::string> overlaps;
    /// For each run with an end that changed the failed attempts of its task or gang: the counts before and
    /// after each such end, and how the tasks of the step ended in the run of this number.
    std::vector<std::string> attempts;

    friend bool operator==(const run_history&, const run_history&) = default;
};

/// Builds the history of a job's runs. Precondition: `lines` name one job and are ordered by time. Thread
/// safety: any thread.
[[nodiscard]] run_history build_run_history(const std::vector<log_line>& lines);

} // namespace poplarpitch
