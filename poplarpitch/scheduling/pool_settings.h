#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// A pool of workers as configured by the operators.
struct pool_settings {
    std::string name;
    bool enforces_capacity = false;     ///< its workers refuse tasks that do not fit
    bool is_standby = false;            ///< its machines are switched off
    std::uint32_t max_connections = 64; ///< maximum number of connections to one worker

    friend auto operator<=>(const pool_settings&, const pool_settings&) = default;
};

} // namespace poplarpitch
