#pragma once

#include "poplarpitch/http/header_list.h"

#include <string>

namespace poplarpitch {

/// A complete HTTP response.
struct http_response {
    int status = 200;
    header_list headers; ///< without Content-Type, Content-Length and connection headers
    std::string content_type = "application/json";
    std::string body;
    /// Set by the client if it sent the request more than once: the earlier attempt may have been executed
    /// too.
    bool was_retried = false;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// Returns a response whose JSON body holds an error code and a message. Thread safety: any thread.
[[nodiscard]] http_response make_error_response(int status, const std::string& code,
                                                const std::string& message);

} // namespace poplarpitch
