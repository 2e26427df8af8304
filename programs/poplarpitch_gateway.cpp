#include "poplarpitch/command_line/parsed_command_line.h"
#include "poplarpitch/core/process_settings.h"
#include "poplarpitch/gateway/gateway_daemon.h"
#include "poplarpitch/telemetry/logging.h"

int main(int count, char** arguments) {
    const auto line = poplarpitch::read_settings_command_line(
        count, arguments, "poplarpitch-gateway",
        "Accepts callers' requests and relays them to the leading scheduler.",
        poplarpitch::parse_gateway_settings, {.has_storage = false});
    if (line.exit_code.has_value()) {
        return *line.exit_code;
    }
    poplarpitch::limit_malloc_arenas(1);
    poplarpitch::start_ring_logging(line.settings.log_level);
    const int code = poplarpitch::run_gateway_daemon(line.settings);
    poplarpitch::flush_logs();
    poplarpitch::exit_without_cleanup(code);
}
