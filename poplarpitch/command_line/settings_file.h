#pragma once

#include <optional>
#include <string>

namespace poplarpitch {

/// Options that only some daemons have on their command line.
struct settings_file_options {
    bool has_storage = true;  ///< the help text names the exit code of a storage failure
    bool can_restore = false; ///< accepts --restore
};

/// The parsed command line of a daemon and the text of its settings file.
struct settings_file {
    std::optional<int> exit_code; ///< set when the daemon is not to run: help, version, or an error
    bool is_check_only = false;   ///< only check the settings
    std::string name;
    std::string text;
    std::string backup_file; ///< --restore: backup to create the cluster from; empty otherwise
};

/// Exit code for an invalid command line or invalid settings.
inline constexpr int usage_exit_code = 2;

/// Parses a daemon's command line and reads its settings file. Prints help, version and errors.
/// Thread safety: none.
[[nodiscard]] settings_file read_settings_file(int count, const char* const* arguments, const char* program,
                                               const char* about, const settings_file_options& file_options);

} // namespace poplarpitch
