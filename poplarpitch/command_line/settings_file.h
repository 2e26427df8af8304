#pragma once

#include <optional>
#include <string>

namespace poplarpitch {

/// A daemon's command line as far as its settings file.
struct settings_file {
    std::optional<int> exit_code; ///< set when there is nothing to run: help, version, or an error
    bool is_check = false;        ///< only check the settings
    std::string name;
    std::string text;
};

/// Exit code for a bad command line or bad settings.
inline constexpr int usage_exit_code = 2;

/// Reads a daemon's command line and the text of its settings file; prints help, version and what is wrong.
/// Thread safety: none.
[[nodiscard]] settings_file read_settings_file(int count, const char* const* arguments, const char* program,
                                               const char* about);

} // namespace poplarpitch
