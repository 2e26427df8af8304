#pragma once

#include "poplarpitch/tools/operator_client.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Options that all commands of `poplarctl` share.
struct command_options {
    bool is_json = false;           ///< --output json
    bool is_waiting = false;        ///< --wait
    std::string change_id;          ///< --change-id
    std::string base;               ///< --base; empty takes the present version
    std::string tenant;             ///< --tenant
    std::string state;              ///< --state
    std::string author;             ///< --author
    duration timeout = seconds{30}; ///< --timeout, of waits

    friend auto operator<=>(const command_options&, const command_options&) = default;
};

/// Exit codes of `poplarctl`, documented in its help.
enum class command_exit : int {
    good = 0,
    refused = 1,     ///< the system refused
    usage = 2,       ///< bad command line, file or configuration
    unreachable = 3, ///< no entry could be reached
    unknown = 4,     ///< sent, but no answer: ask again with the same id
    timed_out = 5,   ///< --wait ended before it was true
};

/// Runs one command of `poplarctl`, such as {"job", "get", "a"}. Prints to standard output and error.
/// Thread safety: none.
command_exit run_command(operator_client& client, const std::vector<std::string>& words,
                         const command_options& options);

} // namespace poplarpitch
