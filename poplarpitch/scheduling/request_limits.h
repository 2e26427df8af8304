#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// The operators' limits on callers' requests. 0: not set, so the settings of an instance hold.
struct request_limits {
    std::int64_t max_header_bytes = 0;
    std::int64_t max_body_bytes = 0;
    duration header_timeout{}; ///< from the first byte of a request to the end of its header
    duration idle_timeout{};   ///< for the first byte of a request on an open connection

    friend auto operator<=>(const request_limits&, const request_limits&) = default;
};

} // namespace poplarpitch
