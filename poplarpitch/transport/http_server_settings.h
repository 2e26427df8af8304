#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// Address, timeouts and bounds of an HTTP server.
struct http_server_settings {
    std::string host = "127.0.0.1";
    int port = 0;                        ///< 0 selects a free port
    int max_connections = 512;           ///< each occupies a thread; further connections wait for a free one
    std::int64_t max_body = 8LL << 20;   ///< bytes; larger bodies are answered with 413
    duration keep_alive = seconds{5};    ///< an idle connection is closed after this, freeing its thread
    duration read_timeout = seconds{10}; ///< the connection is closed when a read waits longer

    friend auto operator<=>(const http_server_settings&, const http_server_settings&) = default;
};

} // namespace poplarpitch
