#pragma once

#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/scheduling/wave_record.h"
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
    std::string worker;
};
/// An operator's new configuration.
struct put_config_call {
    job_configuration configuration;
};
/// An operator asks for the configuration.
struct get_config_call {};
/// An operator orders a wave of maintenance.
struct start_wave_call {
    wave_record wave;
};
/// An operator asks how far a wave is.
struct get_wave_call {
    std::uint64_t number = 0;
};
/// A call that is known but cannot be read.
struct malformed_call {
    std::string reason;
};
/// No such call.
struct unknown_call {};

/// What workers and operators ask the control instances.
using control_call = std::variant<heartbeat_call, goodbye_call, put_config_call, get_config_call,
                                  start_wave_call, get_wave_call, malformed_call, unknown_call>;

} // namespace poplarpitch
