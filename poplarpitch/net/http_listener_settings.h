#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/net/endpoint_kind.h"
#include "poplarpitch/net/http_limits.h"

#include <cstddef>
#include <string>

namespace poplarpitch {

/// The address and limits of an HTTP server.
struct http_listener_settings {
    std::string host = "127.0.0.1";
    int port = 0;                       ///< 0 selects a free port
    std::size_t max_connections = 3000; ///< below the descriptor limit of the smallest entry instance (4,100)
    http_limits limits;
    endpoint_kind kind = endpoint_kind::callers;
    int kernel_buffer = 16 << 10; ///< bytes that the kernel keeps of a connection in each direction, about
    duration sweep_interval = seconds{2}; ///< time between two checks for connections to close
    /// A request that may have waited for longer than this to be read is dropped if its client has closed the
    /// connection. By default requests are handled whether or not their clients still wait.
    duration max_abandoned_wait = duration::max();

    friend bool operator==(const http_listener_settings&, const http_listener_settings&) = default;
};

} // namespace poplarpitch
