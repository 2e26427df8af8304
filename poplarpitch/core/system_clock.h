#pragma once

#include "poplarpitch/core/time.h"

namespace poplarpitch {

/// The clock of daemons. Reads CLOCK_BOOTTIME, because a lease must also expire while an instance is
/// suspended.
class system_clock {
public:
    /// Returns the time since boot. Thread safety: any thread.
    [[nodiscard]] time_point now() const noexcept;
};

} // namespace poplarpitch
