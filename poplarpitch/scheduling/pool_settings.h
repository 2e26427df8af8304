#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// A pool of workers as the operators configured it.
struct pool_settings {
    std::string name;
    bool enforces_capacity = false;     ///< its workers refuse what does not fit
    bool is_standby = false;            ///< its machines are off
    std::uint32_t max_connections = 64; ///< to one worker

    friend auto operator<=>(const pool_settings&, const pool_settings&) = default;
};

} // namespace poplarpitch
