#pragma once

#include <cstdint>
#include <limits>

namespace poplarpitch {

/// The whole numbers that a field may have, both ends included.
struct integer_range {
    std::int64_t low = std::numeric_limits<std::int64_t>::min();
    std::int64_t high = std::numeric_limits<std::int64_t>::max();

    friend bool operator==(const integer_range&, const integer_range&) = default;
};

/// Whole numbers that fit into a field of 32 bits without a sign.
constexpr integer_range uint32_range{0, std::numeric_limits<std::uint32_t>::max()};

} // namespace poplarpitch
