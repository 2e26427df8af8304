#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// Limits on the requests of one connection.
struct http_limits {
    std::size_t max_header = 64U << 10;    ///< bytes of a request's header, and of its trailers; beyond: 431
    std::size_t max_body = 1U << 20;       ///< bytes of a request's body; beyond: 413
    duration idle_timeout = seconds{30};   ///< for the first byte of a request; then the connection is closed
    duration header_timeout = seconds{30}; ///< from the first byte of a request to the end of its header: 408
    duration body_timeout = seconds{30};   ///< from there to the end of the request: 408
    duration write_timeout = seconds{30};  ///< for a client to take a response; then the connection is closed

    friend auto operator<=>(const http_limits&, const http_limits&) = default;
};

} // namespace poplarpitch
