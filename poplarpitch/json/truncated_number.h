#pragma once

#include <cstdint>
#include <optional>

namespace poplarpitch {

/// Returns a number without its fraction, or nothing when it is beyond the range of 64-bit integers, where a
/// conversion would be undefined. Thread safety: any thread.
[[nodiscard]] std::optional<std::int64_t> truncate_to_integer(double number);

} // namespace poplarpitch
