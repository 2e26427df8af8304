#pragma once

#include <cstdint>
#include <string_view>

namespace poplarpitch {

/// Returns the 64-bit xxHash of `bytes`; stable between builds and instances. Thread safety: any thread.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes) noexcept;

} // namespace poplarpitch
