#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// `[service NAME]`: one latency-critical service.
struct service_settings {
    std::string name;
    std::vector<std::string> dependencies; ///< services that must be up for this one to be useful
    duration deadline = seconds{2};        ///< default when the caller sets none
    bool idempotent = false;         ///< default for requests that do not specify it; false is the safe value
    bool require_key = false;        ///< reject non-idempotent requests without Idempotency-Key
    bool hedge = false;              ///< send a second copy of a slow idempotent request
    bool serve_when_cut_off = false; ///< continue to serve idempotent requests without a control session
    std::int64_t max_queue = 1000;   ///< waiting requests per entry
    std::int64_t max_in_flight = 10000; ///< running requests per entry
    resources demand{1, 0, 0, 0};       ///< resources that one request uses on its worker

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

} // namespace poplarpitch
