#include "poplarpitch/command_line/version.h"
#include "poplarpitch/core/process_settings.h"
#include "poplarpitch/core/stop_signal.h"
#include "poplarpitch/core/text_file.h"
#include "poplarpitch/stand_in/run_record.h"
#include "poplarpitch/stand_in/stand_in_settings.h"
#include "poplarpitch/stand_in/stand_in_worker.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/logging.h"

#include <cxxopts.hpp>

#include <iostream>
#include <memory>
#include <vector>

namespace {

constexpr int usage_code = 2;
constexpr auto drain_timeout = std::chrono::seconds{30};

/// Drains all workers and stops them: announces that they leave, waits until nothing runs on them or the
/// limit has passed or a second stop signal arrives, and stops them.
void stop_workers(std::vector<std::unique_ptr<poplarpitch::stand_in_worker>>& workers,
                  poplarpitch::stop_signal& signal) {
    for (auto& worker : workers) {
        worker->leave();
    }
    signal.reset();
    const poplarpitch::system_clock clock;
    const auto end = clock.now() + drain_timeout;
    for (auto& worker : workers) {
        while (!worker->can_stop() && clock.now() < end && !signal.wait_for(std::chrono::milliseconds{20})) {
        }
    }
    for (auto& worker : workers) {
        worker->stop();
    }
}

} // namespace

int main(int count, char** arguments) {
    cxxopts::Options options("poplarpitch-stand-in",
                             "Simulated workers for the demo, tests and measurements.");
    options.add_options()("settings", "settings file (INI)", cxxopts::value<std::string>())(
        "check", "check the settings and exit")("version", "print the version")("help", "print this help");
    try {
        const auto parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("version") > 0) {
            std::cout << "poplarpitch-stand-in " << poplarpitch::version_text << "\n";
            return 0;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << "poplarpitch-stand-in: --settings FILE is missing; see --help\n";
            return usage_code;
        }
        const auto file = parsed["settings"].as<std::string>();
        const auto settings =
            poplarpitch::parse_stand_in_settings(poplarpitch::read_text_file(file).value_or(""));
        for (const auto& error : settings.errors) {
            std::cerr << error.format(file) << "\n";
        }
        if (!settings.errors.empty() || parsed.count("check") > 0) {
            return settings.errors.empty() ? 0 : usage_code;
        }
        poplarpitch::disable_deadlock_detection();
        poplarpitch::start_logging("info");
        poplarpitch::stop_signal signal;
        poplarpitch::run_record record(settings.value.record);
        std::vector<std::unique_ptr<poplarpitch::stand_in_worker>> workers;
        for (int index = 0; index < settings.value.count; ++index) {
            const int number = settings.value.first_number + index;
            workers.push_back(std::make_unique<poplarpitch::stand_in_worker>(settings.value, number, record));
            const int port = workers.back()->start();
            poplarpitch::log_event(poplarpitch::log_level::info, "listening")
                .add("worker", workers.back()->get_id())
                .add("http_port", port);
        }
        signal.wait();
        stop_workers(workers, signal);
        return 0;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "poplarpitch-stand-in: " << error.what() << "; see --help\n";
        return usage_code;
    }
}
