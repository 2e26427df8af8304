#pragma once

#include <cstdint>

namespace poplarpitch {

/// Returns milliseconds since 1970 from the wall clock of the instance. It is only for records that people
/// read. No decision about leases or deadlines may depend on it. Thread safety: any thread.
[[nodiscard]] std::int64_t get_wall_ms();

} // namespace poplarpitch
