#pragma once

#include "poplarpitch/tools/run_history.h"

#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// What the logs of several processes record about one job, request or worker.
struct log_explanation {
    std::vector<std::string> lines; ///< all lines that name it, ordered by time
    std::string cause;              ///< the line that explains its end; empty when there is none
    run_history history;            ///< of the job's runs; empty when `id` is not the id of a job

    friend bool operator==(const log_explanation&, const log_explanation&) = default;
};

/// Collects the lines that name `id` from `texts`, the logs of several processes, and orders them by time.
/// The cause is the last line that records a refusal, a job or request given up, a loss or an end. A process
/// is identified by its line `started id=`, or by the position of its log when there is no such line. Thread
/// safety: any thread.
[[nodiscard]] log_explanation explain_id(std::string_view id, const std::vector<std::string>& texts);

} // namespace poplarpitch
