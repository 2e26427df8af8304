#include "poplarpitch/command_line/parsed_command_line.h"
#include "poplarpitch/config/daemon_settings.h"
#include "poplarpitch/control/control_daemon.h"
#include "poplarpitch/control/data_folder_restorer.h"
#include "poplarpitch/core/process_settings.h"
#include "poplarpitch/telemetry/logging.h"

int main(int count, char** arguments) {
    const auto line = poplarpitch::read_settings_command_line(
        count, arguments, "poplarpitch-control", "Stores the replicated state: configuration, workers, jobs.",
        [](std::string_view text) { return poplarpitch::parse_daemon_settings(text, true); },
        {.can_restore = true});
    if (line.exit_code.has_value()) {
        return *line.exit_code;
    }
    poplarpitch::disable_deadlock_detection();
    poplarpitch::limit_malloc_arenas(1); // one thread does nearly all of the work
    poplarpitch::start_logging(line.settings.log_level);
    if (!line.backup_file.empty()) {
        return poplarpitch::restore_data_folder(line.settings, line.backup_file);
    }
    return poplarpitch::run_control_daemon(line.settings);
}
