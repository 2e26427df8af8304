#pragma once

#include "poplarpitch/core/time.h"

#include <cstddef>

namespace poplarpitch {

/// Bounds of an HTTP client.
struct http_caller_settings {
    std::size_t max_connections = 2000; ///< to all addresses, idle ones too; the oldest idle one makes room
    std::size_t max_waiting = 20'000;   ///< calls that wait for a connection: 10 MB of orders
    std::size_t max_short_calls_per_address = 2; ///< calls under way at an address that it answers at once
    /// How long the first of them may take before a second connection is opened beside it: answers come
    /// within milliseconds, so one that takes this long has probably been lost.
    duration second_connection_delay = milliseconds{100};
    std::size_t max_idle_per_address = 2;         ///< one for a long call and one for the others
    duration max_idle = seconds{20};              ///< a connection idle for longer is not used again
    duration connect_timeout = milliseconds{800}; ///< a SYN lost on the way is sent again after one second
    duration exhausted_pause = milliseconds{200}; ///< without new connections after descriptors ran out

    friend bool operator==(const http_caller_settings&, const http_caller_settings&) = default;
};

} // namespace poplarpitch
