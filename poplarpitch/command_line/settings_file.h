#pragma once

#include <optional>
#include <string>

namespace poplarpitch {

/// What a daemon's command line has beside what all have.
struct settings_file_options {
    bool has_storage = true;  ///< its help names the exit code of a failed disk
    bool can_restore = false; ///< it takes --restore
};

/// A daemon's command line as far as its settings file.
struct settings_file {
    std::optional<int> exit_code; ///< set when there is nothing to run: help, version, or an error
    bool is_check_only = false;   ///< only check the settings
    std::string name;
    std::string text;
    std::string restored_file; ///< --restore: a backup to found the cluster from; else empty
};

/// Exit code for a bad command line or bad settings.
inline constexpr int usage_exit_code = 2;

/// Reads a daemon's command line and the text of its settings file; prints help, version and what is wrong.
/// Thread safety: none.
[[nodiscard]] settings_file read_settings_file(int count, const char* const* arguments, const char* program,
                                               const char* about, const settings_file_options& file_options);

} // namespace poplarpitch
