#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/core/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Settings of an entry instance: `[instance]` and `[entry]` of its settings file.
struct gateway_settings {
    std::string id; ///< name of this instance, unique among all
    std::string data_centre = "default";
    std::string log_level = "info";
    std::vector<std::string> seeds; ///< addresses of up to three control instances, without port
    int link_port = 0;              ///< where control instances take frames; the same on all
    std::string callers_host = "127.0.0.1";
    int callers_port = 0;
    std::string ready_host = "127.0.0.1";
    int ready_port = 0;
    std::string ready_path = "/readyz";                      ///< where the balancer asks
    std::string deadline_header = "Poplarpitch-Deadline-Ms"; ///< what a caller waits, milliseconds
    duration default_deadline = seconds{3};
    duration leader_wait =
        milliseconds{1200}; ///< a request waits this long for a leader: an election takes 0.4 to 1 s
    duration drain_wait =
        milliseconds{2600};           ///< at a stop: until the balancer has seen two misses of one a second
    duration stop_limit = seconds{5}; ///< at a stop: the latest end
    int metrics_port = 0;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

/// Settings, or every reason why the text does not give them.
struct parsed_gateway_settings {
    gateway_settings value;
    std::vector<config_error> errors;
};

/// Reads the settings of an entry instance. Thread safety: any thread.
[[nodiscard]] parsed_gateway_settings parse_gateway_settings(std::string_view text);

} // namespace poplarpitch
