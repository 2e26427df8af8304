#pragma once

#include "poplarpitch/core/time.h"

#include <atomic>

namespace poplarpitch {

/// A clock that changes only when a test advances it.
class manual_clock {
public:
    /// Returns the time that the clock was advanced to. Thread safety: any thread.
    [[nodiscard]] time_point now() const noexcept { return time_point{duration{m_now.load()}}; }

    /// Moves the clock forward. Precondition: `step` is not negative. Thread safety: any thread.
    void advance(duration step) noexcept { m_now.fetch_add(step.count()); }

private:
    std::atomic<std::int64_t> m_now{seconds{1000}.count() * 1'000'000'000LL}; ///< ns; starts well above zero
};

} // namespace poplarpitch
