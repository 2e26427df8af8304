#include "poplarpitch/tools/daemon_command_line.h"

#include "poplarpitch/command_line/version.h"
#include "poplarpitch/core/text_file.h"

#include <cxxopts.hpp>

#include <iostream>

namespace poplarpitch {
namespace {

constexpr int usage_code = 2;

} // namespace

daemon_command_line read_daemon_command_line(int count, const char* const* arguments, const char* program,
                                             const char* about, bool is_control) {
    daemon_command_line line;
    cxxopts::Options options(program, about);
    options.add_options()("settings", "settings file (INI)", cxxopts::value<std::string>())(
        "check", "check the settings and exit: 0 when they are good, 2 when not")(
        "version", "print the version")("help", "print this help");
    if (is_control) {
        options.add_options()("restore", "write a backup into the blank data folder, and exit",
                              cxxopts::value<std::string>());
    }
    try {
        const auto parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help()
                      << "\nExit codes: 0 planned stop, 1 cannot start, 2 bad usage or settings"
                      << (is_control ? ", 3 storage failed" : "") << ".\n";
            line.exit_code = 0;
            return line;
        }
        if (parsed.count("version") > 0) {
            std::cout << program << " " << version_text << "\n";
            line.exit_code = 0;
            return line;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << program << ": --settings FILE is missing; see --help\n";
            line.exit_code = usage_code;
            return line;
        }
        const auto file = parsed["settings"].as<std::string>();
        const auto text = read_text_file(file);
        if (!text.has_value()) {
            std::cerr << file << ":0: cannot be read\n";
            line.exit_code = usage_code;
            return line;
        }
        auto settings = parse_daemon_settings(*text, is_control);
        for (const auto& error : settings.errors) {
            std::cerr << error.format(file) << "\n";
        }
        if (!settings.errors.empty()) {
            line.exit_code = usage_code;
        } else if (parsed.count("check") > 0) {
            line.exit_code = 0;
        }
        line.settings = std::move(settings.value);
        if (is_control && parsed.count("restore") > 0) {
            line.restored_file = parsed["restore"].as<std::string>();
        }
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << program << ": " << error.what() << "; see --help\n";
        line.exit_code = usage_code;
    }
    return line;
}

} // namespace poplarpitch
