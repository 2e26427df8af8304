#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace poplarpitch {

/// The slots that another entry last advertised for one service.
struct remote_service {
    std::int64_t free = 0;
    std::int64_t total = 0;

    friend auto operator<=>(const remote_service&, const remote_service&) = default;
};

/// Another entry, to which a request may be forwarded once.
struct remote_entry {
    std::string id;
    std::string address;
    bool is_same_data_centre = false; ///< in the same data centre as this entry
    std::map<std::string, remote_service> services;

    friend auto operator<=>(const remote_entry&, const remote_entry&) = default;
};

} // namespace poplarpitch
