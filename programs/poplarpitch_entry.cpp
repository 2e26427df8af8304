#include "poplarpitch/command_line/parsed_command_line.h"
#include "poplarpitch/config/daemon_settings.h"
#include "poplarpitch/core/process_settings.h"
#include "poplarpitch/entry/entry_daemon.h"
#include "poplarpitch/telemetry/logging.h"

int main(int count, char** arguments) {
    const auto line = poplarpitch::read_settings_command_line(
        count, arguments, "poplarpitch-entry", "Accepts callers' requests and targets' announcements.",
        [](std::string_view text) { return poplarpitch::parse_daemon_settings(text, false); },
        {.has_storage = false});
    if (line.exit_code.has_value()) {
        return *line.exit_code;
    }
    poplarpitch::disable_deadlock_detection();
    poplarpitch::limit_malloc_arenas(4); // threads that serve callers must not wait for each other
    poplarpitch::start_logging(line.settings.log_level);
    return poplarpitch::run_entry_daemon(line.settings);
}
