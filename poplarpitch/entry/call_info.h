#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <string>

namespace poplarpitch {

/// A caller's request as read by an entry, before any decision about it.
struct call_info {
    std::string request_id;
    std::string service;
    std::string tenant;
    std::string path_suffix; ///< path after the service name, with the query
    time_point deadline{};
    bool is_idempotent = false;
    std::string key;               ///< Idempotency-Key; empty without one
    bool is_forwarded = false;     ///< was forwarded by another entry and must not be forwarded again
    int lost_attempts = 0;         ///< attempts at other entries that got no answer from their target
    bool has_valid_session = true; ///< the session with control is valid

    friend auto operator<=>(const call_info&, const call_info&) = default;
};

} // namespace poplarpitch
