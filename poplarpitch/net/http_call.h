#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/net/call_priority.h"

#include <optional>
#include <string>

namespace poplarpitch {

/// An HTTP request, its destination and how to send it.
struct http_call {
    std::string address; ///< IPv4 address and port, `10.0.0.4:8080`
    http_request request;
    duration timeout = seconds{1}; ///< from `send` to the response, including the wait for a connection
    call_priority priority = call_priority::normal;
    bool is_long_poll = false;       ///< the response is delayed on purpose, so it gets its own connection
    bool use_new_connection = false; ///< for when the open ones may have stopped responding
    /// Use only a connection that was opened before this time. This ensures that only the process that
    /// accepted the connection then can receive the call. If no such connection is free, the call is not
    /// sent.
    std::optional<time_point> connection_opened_before;

    friend bool operator==(const http_call&, const http_call&) = default;
};

} // namespace poplarpitch
