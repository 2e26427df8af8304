#pragma once

#include "poplarpitch/tools/run_history.h"

#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// What the logs of several processes say of one job, request or worker.
struct log_story {
    std::vector<std::string> lines; ///< all lines that name it, in the order of their times
    std::string cause;              ///< the line that decided its end; empty when none is known
    run_history history;            ///< of the job's runs; empty where `id` is of another kind

    friend bool operator==(const log_story&, const log_story&) = default;
};

/// Picks the lines that name `id` out of `texts`, the logs of several processes, orders them by time, and
/// names the one that decided: the last of those that refuse, give up, lose or end something. A process is
/// named by its line `started id=`, else by the place of its log. Thread safety: any thread.
[[nodiscard]] log_story explain_id(std::string_view id, const std::vector<std::string>& texts);

} // namespace poplarpitch
