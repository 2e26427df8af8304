#pragma once

#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <cstdint>
#include <string>
#include <variant>

namespace poplarpitch {

/// A worker's heartbeat.
struct heartbeat_call {
    worker_report report;
};
/// A worker's goodbye: it ends.
struct goodbye_call {
    worker_life worker;
};
/// An operator's new configuration.
struct put_config_call {
    job_configuration configuration;
};
/// An operator asks for the configuration.
struct get_config_call {};
/// A call of the deployment that this version does not carry out.
struct unsupported_call {
    std::string reason;
};
/// A call that is known but cannot be read.
struct malformed_call {
    std::string reason;
};
/// No such call.
struct unknown_call {};

/// What workers and operators ask the control instances.
using control_call = std::variant<heartbeat_call, goodbye_call, put_config_call, get_config_call,
                                  unsupported_call, malformed_call, unknown_call>;

} // namespace poplarpitch
