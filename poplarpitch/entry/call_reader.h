#pragma once

#include "poplarpitch/config/configuration.h"
#include "poplarpitch/entry/call_info.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"

#include <variant>

namespace poplarpitch {

/// Parses and validates a caller's request: service, tenant, deadline and idempotency. Returns a 4xx answer
/// with the reason when the request is invalid. Thread safety: any thread.
[[nodiscard]] std::variant<call_info, http_response> read_call(const http_request& request,
                                                               const configuration& settings, time_point now);

} // namespace poplarpitch
