#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <string>

namespace poplarpitch {

/// What an entry knows of a caller's request before it decides anything.
struct call_info {
    std::string request_id;
    std::string service;
    std::string tenant;
    std::string path_suffix; ///< path behind the service, with the query
    time_point deadline{};
    bool is_idempotent = false;
    std::string key;               ///< Idempotency-Key; empty without one
    bool is_forwarded = false;     ///< came from another entry; goes no further
    int lost_attempts = 0;         ///< targets of other entries that gave no answer to it
    bool has_valid_session = true; ///< the session with control is valid

    friend auto operator<=>(const call_info&, const call_info&) = default;
};

} // namespace poplarpitch
