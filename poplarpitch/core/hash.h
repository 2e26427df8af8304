#pragma once

#include <cstdint>
#include <string_view>

namespace poplarpitch {

/// Returns the 64-bit xxHash of `bytes`. The value is the same in all builds and on all instances. Thread
/// safety: any thread.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes) noexcept;

} // namespace poplarpitch
