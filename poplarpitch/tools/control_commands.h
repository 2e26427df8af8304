#pragma once

#include "poplarpitch/tools/operator_client.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Options that all commands of `poplarctl` accept. Each comment names the option on the command line.
struct command_options {
    bool is_json = false;           ///< --output json
    bool is_waiting = false;        ///< --wait
    std::string change_id;          ///< --change-id
    std::string base;               ///< --base; when empty, the version currently in force
    std::string tenant;             ///< --tenant
    std::string state;              ///< --state
    std::string author;             ///< --author
    duration timeout = seconds{30}; ///< --timeout: the longest time that --wait waits

    friend auto operator<=>(const command_options&, const command_options&) = default;
};

/// Exit codes of `poplarctl`. Its help text lists them.
enum class command_exit : int {
    success = 0,
    refused = 1,     ///< the system refused the command
    usage = 2,       ///< bad command line, file or configuration
    unreachable = 3, ///< no entry could be reached
    unknown = 4,     ///< sent without an answer; the caller may retry with the same id
    timed_out = 5,   ///< --wait reached its time limit
};

/// Runs one command of `poplarctl`, such as {"job", "get", "a"}, and prints its result to standard output and
/// its errors to standard error. Thread safety: none.
command_exit run_command(operator_client& client, const std::vector<std::string>& arguments,
                         const command_options& options);

} // namespace poplarpitch
