#pragma once

#include "poplarpitch/config/daemon_settings.h"

#include <optional>
#include <string>

namespace poplarpitch {

/// What a daemon's main is to do.
struct daemon_command_line {
    std::optional<int> exit_code; ///< set when there is nothing to run: help, version, check, or an error
    daemon_settings settings;
    std::string restored_file; ///< --restore, of control: a backup to found the cluster from; else empty
};

/// Reads a daemon's command line and settings file; prints help, version and every mistake of the settings.
/// Thread safety: none.
[[nodiscard]] daemon_command_line read_daemon_command_line(int count, const char* const* arguments,
                                                           const char* program, const char* about,
                                                           bool is_control);

} // namespace poplarpitch
