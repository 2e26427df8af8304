#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/net/http_limits.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Settings of an entry instance, from the sections `[instance]` and `[entry]` of its settings file.
struct gateway_settings {
    static constexpr std::size_t default_memory_bytes = 160U << 20; ///< of the smallest entry instance

    std::string id; ///< name of this instance, unique among all instances
    std::string data_centre = "default";
    std::string log_level = "info";
    std::vector<std::string> seeds; ///< hosts of up to three control instances, without port
    int link_port = 0; ///< port on which control instances accept frames; the same on all of them
    std::string caller_host = "127.0.0.1";
    int caller_port = 0;
    std::string ready_host = "127.0.0.1";
    int ready_port = 0;
    std::string ready_path = "/readyz";                      ///< path of the load balancer's health check
    std::string deadline_header = "Poplarpitch-Deadline-Ms"; ///< how long a caller waits, in milliseconds
    duration default_deadline = seconds{3};
    /// How long a request waits for a leader. An election takes 0.4 to 1 s.
    duration leader_wait = milliseconds{1200};
    /// At shutdown: time for the load balancer to see two failed health checks, which it makes once a second.
    duration drain_wait = milliseconds{2600};
    duration stop_limit = seconds{5}; ///< at shutdown: time limit for open requests
    int metrics_port = 0;
    std::size_t memory_limit = default_memory_bytes; ///< of the process on its machine
    http_limits limits; ///< of callers' requests, where the configuration sets none
    /// Spreads the return of callers that are refused for want of a leader, by the last leader's load digest.
    bool spread_returns = false;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

/// The settings, or all errors found in the text.
struct parsed_gateway_settings {
    gateway_settings value;
    std::vector<config_error> errors;
};

/// Parses the text of an entry instance's settings file. Thread safety: any thread.
[[nodiscard]] parsed_gateway_settings parse_gateway_settings(std::string_view text);

} // namespace poplarpitch
