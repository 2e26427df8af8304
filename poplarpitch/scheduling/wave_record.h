#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// A wave of maintenance: each of its machines is to go down once, not too many at the same time.
struct wave_record {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    std::int64_t duration_ms = 0; ///< all of it is to be done within this
    std::uint32_t max_down = 1;   ///< machines down at the same time
    std::int64_t started_ms = 0;  ///< wall time of the order
    bool is_done = false;
    std::set<std::string> begun;    ///< machines whose maintenance was ordered
    std::set<std::string> finished; ///< machines that are back, or gone for good

    friend auto operator<=>(const wave_record&, const wave_record&) = default;
};

} // namespace poplarpitch
