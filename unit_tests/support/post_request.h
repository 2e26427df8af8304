#pragma once

#include "poplarpitch/http/http_request.h"

#include <string>

namespace poplarpitch {

/// Returns a POST request. Thread safety: any thread.
inline http_request make_post(const std::string& target, const std::string& body = {}) {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return request;
}

} // namespace poplarpitch
