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
/// A worker deregisters because its process ends.
struct deregister_call {
    worker_incarnation worker;
};
/// An operator's new configuration.
struct put_config_call {
    job_configuration configuration;
};
/// An operator's request for the configuration.
struct get_config_call {};
/// An operator's order that no task starts any more on the workers of a data centre, or its withdrawal.
struct drain_call {
    std::string data_centre;
    bool undo = false; ///< withdraws the order
};
/// A known call that this version does not implement.
struct unsupported_call {
    std::string reason;
};
/// A known call that cannot be parsed.
struct malformed_call {
    std::string reason;
};
/// A call that is not known.
struct unknown_call {};

/// A call by a worker or an operator to the control instances.
using control_call = std::variant<heartbeat_call, deregister_call, put_config_call, get_config_call,
                                  drain_call, unsupported_call, malformed_call, unknown_call>;

} // namespace poplarpitch
