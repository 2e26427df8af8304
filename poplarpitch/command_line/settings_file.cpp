#include "poplarpitch/command_line/settings_file.h"

#include "poplarpitch/command_line/version.h"
#include "poplarpitch/core/text_file.h"

#include <cxxopts.hpp>

#include <iostream>

namespace poplarpitch {

settings_file read_settings_file(int count, const char* const* arguments, const char* program,
                                 const char* about, const settings_file_options& file_options) {
    settings_file file;
    cxxopts::Options options(program, about);
    options.add_options()("settings", "settings file (INI)", cxxopts::value<std::string>())(
        "check", "check the settings and exit: 0 when they are valid, 2 when not")(
        "version", "print the version")("help", "print this help");
    if (file_options.can_restore) {
        options.add_options()("restore", "restore a backup into the blank data folder, and exit",
                              cxxopts::value<std::string>());
    }
    try {
        const auto parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help()
                      << "\nExit codes: 0 planned stop, 1 cannot start, 2 bad usage or settings"
                      << (file_options.has_storage ? ", 3 storage failed" : "") << ".\n";
            file.exit_code = 0;
            return file;
        }
        if (parsed.count("version") > 0) {
            std::cout << program << " " << version_text << "\n";
            file.exit_code = 0;
            return file;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << program << ": --settings FILE is missing; see --help\n";
            file.exit_code = usage_exit_code;
            return file;
        }
        file.is_check_only = parsed.count("check") > 0;
        file.name = parsed["settings"].as<std::string>();
        if (file_options.can_restore && parsed.count("restore") > 0) {
            file.backup_file = parsed["restore"].as<std::string>();
        }
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << program << ": " << error.what() << "; see --help\n";
        file.exit_code = usage_exit_code;
        return file;
    }
    auto text = read_text_file(file.name);
    if (!text.has_value()) {
        std::cerr << file.name << ":0: cannot be read\n";
        file.exit_code = usage_exit_code;
        return file;
    }
    file.text = std::move(*text);
    return file;
}

} // namespace poplarpitch
