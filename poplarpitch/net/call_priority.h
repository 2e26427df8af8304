#pragma once

#include <cstddef>
#include <cstdint>

namespace poplarpitch {

/// The priority of a call when there are too few connections for all calls.
enum class call_priority : std::uint8_t {
    low,    ///< may be delayed: it only tunes the system
    normal, ///< somebody waits for the result
    high,   ///< without it something ends or a guarantee is broken
};

/// The number of values of `call_priority`.
inline constexpr std::size_t call_priority_count = 3;

} // namespace poplarpitch
