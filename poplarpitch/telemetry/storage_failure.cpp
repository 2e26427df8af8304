#include "poplarpitch/telemetry/storage_failure.h"

#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/logging.h"

#include <cstdlib>

namespace poplarpitch {
namespace {

constexpr int storage_failure_code = 3; // exit code that the operations documentation names

} // namespace

void exit_on_storage_failure(const std::error_code& error, const std::string& place) {
    log_event(log_level::error, "storage_failed")
        .add("error", error)
        .add("place", place)
        .add("action", "process ends; nothing unsynced was acknowledged");
    flush_logs(); // nothing else would write the line
    std::_Exit(storage_failure_code);
}

} // namespace poplarpitch
