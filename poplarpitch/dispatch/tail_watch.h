#pragma once

#include "poplarpitch/core/time.h"

namespace poplarpitch {

/// Tracks how long the tail latency of a serving task has been over its target, from measurements that are
/// rough and half a second old.
///
/// Time over the target counts up and time under it counts down, so that one measurement that is off by a
/// tenth neither stops the filling tasks nor releases them. Load pattern: a filling task whose factor was
/// learned too low is slowed to a third, the tail stays over its target for as long as the task runs
/// (observed for 4 to 10 s), and each new plan slows it to the same third again. Thread safety: none, as for
/// all methods.
class tail_watch {
public:
    /// Adds a measurement that stands for the time since the previous one.
    void observe(double tail_ms, double target_ms, duration passed);
    /// Returns the share of all pressure on the tail that must be removed.
    [[nodiscard]] double get_pressure_reduction() const;

    friend bool operator==(const tail_watch&, const tail_watch&) = default;

private:
    bool m_is_over = false; ///< by the last measurement
    duration m_over_for{};
};

} // namespace poplarpitch
