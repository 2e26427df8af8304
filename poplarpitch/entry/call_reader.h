#pragma once

#include "poplarpitch/config/configuration.h"
#include "poplarpitch/entry/call_info.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"

#include <variant>

namespace poplarpitch {

/// Reads and checks a caller's request: service, tenant, deadline, idempotency. What is wrong becomes a 4xx
/// answer that says so. Thread safety: any thread.
[[nodiscard]] std::variant<call_info, http_response> read_call(const http_request& request,
                                                               const configuration& settings, time_point now);

} // namespace poplarpitch
