#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/net/call_importance.h"

#include <optional>
#include <string>

namespace poplarpitch {

/// What to ask whom.
struct http_call {
    std::string address; ///< IPv4 address and port, `10.0.0.4:8080`
    http_request request;
    duration timeout = seconds{1}; ///< from `send` to the answer, a wait for a connection included
    call_importance importance = call_importance::normal;
    bool is_long = false;  ///< answered late on purpose, so it gets a connection of its own
    bool is_fresh = false; ///< use a new connection: the open ones may have gone silent
    /// Use only a connection that was open before, and never another one: the process that accepted it then,
    /// or none, gets the call. Where none is free it is not sent.
    std::optional<time_point> opened_before;

    friend bool operator==(const http_call&, const http_call&) = default;
};

} // namespace poplarpitch
