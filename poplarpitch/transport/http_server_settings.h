#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// Bounds of an HTTP server.
struct http_server_settings {
    std::string host = "127.0.0.1";
    int port = 0;                        ///< 0 takes a free one
    int max_connections = 512;           ///< a thread each; further ones wait until one closes
    std::int64_t max_body = 8LL << 20;   ///< bytes; larger ones get 413
    duration keep_alive = seconds{5};    ///< an idle connection is closed after this, freeing its thread
    duration read_timeout = seconds{10}; ///< a request that comes in slower is dropped

    friend auto operator<=>(const http_server_settings&, const http_server_settings&) = default;
};

} // namespace poplarpitch
