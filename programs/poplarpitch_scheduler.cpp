#include "platform/dialect.h"

#include "poplarpitch/command_line/parsed_command_line.h"
#include "poplarpitch/core/process_settings.h"
#include "poplarpitch/scheduler/scheduler_daemon.h"
#include "poplarpitch/telemetry/logging.h"

int main(int count, char** arguments) {
    const auto line = poplarpitch::read_settings_command_line(
        count, arguments, "poplarpitch-scheduler",
        "Stores the replicated jobs and runs them on workers while it is the leader.",
        poplarpitch::parse_scheduler_settings);
    if (line.exit_code.has_value()) {
        return *line.exit_code;
    }
    poplarpitch::limit_malloc_arenas(1);
    poplarpitch::start_ring_logging(line.settings.log_level);
    poplarpitch::scheduler_daemon<poplarpitch::platform::dialect> daemon(line.settings);
    const int code = daemon.run();
    poplarpitch::flush_logs();
    poplarpitch::exit_without_cleanup(code);
}
