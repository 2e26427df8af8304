#pragma once

#include <cstdint>

namespace poplarpitch {

/// Returns milliseconds since 1970 by the instance's wall clock. For records that people read; no decision
/// about leases or deadlines may rest on it. Thread safety: any thread.
[[nodiscard]] std::int64_t get_wall_ms();

} // namespace poplarpitch
