#pragma once

#include "poplarpitch/http/header_list.h"

#include <string>

namespace poplarpitch {

/// An answer, whole.
struct http_response {
    int status = 200;
    header_list headers; ///< without Content-Type, Content-Length and connection headers
    std::string content_type = "application/json";
    std::string body;
    /// Of a client's call: an earlier attempt of it was written too, and may have been carried out.
    bool is_repeated = false;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// Returns an answer with a JSON body of error code and message. Thread safety: any thread.
[[nodiscard]] http_response make_error_response(int status, const std::string& code,
                                                const std::string& message);

} // namespace poplarpitch
