#pragma once

#include "poplarpitch/core/time.h"

#include <cstddef>

namespace poplarpitch {

/// Limits and timeouts of an HTTP client.
struct http_caller_settings {
    std::size_t max_connections = 2000; ///< including idle ones; when reached, the oldest idle one is closed
    std::size_t max_waiting = 20'000;   ///< calls that wait for a connection; about 10 MB of orders
    std::size_t max_short_calls_per_address = 2; ///< short calls in progress
    /// Time that the latest short call may take before a second connection is opened. Responses arrive within
    /// milliseconds, so one that takes this long is probably lost.
    duration second_connection_delay = milliseconds{100};
    std::size_t max_idle_per_address = 2;         ///< one for a long call and one for the others
    duration max_idle = seconds{20};              ///< a connection that was idle for longer is not reused
    duration connect_timeout = milliseconds{800}; ///< a lost SYN is sent again only after one second
    duration exhausted_pause =
        milliseconds{200}; ///< no new connections for this time after descriptors ran out

    friend bool operator==(const http_caller_settings&, const http_caller_settings&) = default;
};

} // namespace poplarpitch
