#pragma once

#include "poplarpitch/command_line/settings_file.h"

#include <concepts>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace poplarpitch {

/// The parsed command line and settings of a daemon.
template <class Settings>
struct parsed_command_line {
    std::optional<int> exit_code; ///< set when the daemon is not to run
    Settings settings;
    std::string backup_file; ///< --restore: backup to create the cluster from; empty otherwise
};

/// Parses a daemon's command line, and its settings with `parse`. Prints all errors with file and line.
/// Thread safety: none.
template <std::invocable<std::string_view> Parse>
auto read_settings_command_line(int count, const char* const* arguments, const char* program,
                                const char* about, const Parse& parse,
                                const settings_file_options& file_options = {}) {
    using parsed_settings = std::invoke_result_t<Parse, std::string_view>;
    parsed_command_line<decltype(parsed_settings::value)> line;
    const auto file = read_settings_file(count, arguments, program, about, file_options);
    line.exit_code = file.exit_code;
    line.backup_file = file.backup_file;
    if (line.exit_code.has_value()) {
        return line;
    }
    auto parsed = parse(file.text);
    for (const auto& error : parsed.errors) {
        std::cerr << error.format(file.name) << "\n";
    }
    if (!parsed.errors.empty()) {
        line.exit_code = usage_exit_code;
    } else if (file.is_check_only) {
        line.exit_code = 0;
    }
    line.settings = std::move(parsed.value);
    return line;
}

} // namespace poplarpitch
