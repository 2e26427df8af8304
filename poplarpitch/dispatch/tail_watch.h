#pragma once

#include "poplarpitch/core/time.h"

namespace poplarpitch {

/// How long the tail of a serving task has been over its target, told by figures that are rough and half a
/// second old.
///
/// Time over the target counts up and time under it down, so that one figure that is off by a tenth neither
/// stops the tasks beside it nor frees them. Load pattern: a filling task whose pressure was learned too low
/// is slowed to a third, the tail stays over its target for as long as it runs (seen for 4 to 10 s), and each
/// new plan slows it to the same third again. Thread safety: none, as for all methods.
class tail_watch {
public:
    /// Takes a figure that stands for the time since the last one.
    void observe(double tail_ms, double target_ms, duration passed);
    /// Returns the share of all pressure on the tail that has to go.
    [[nodiscard]] double get_reduction() const;

    friend bool operator==(const tail_watch&, const tail_watch&) = default;

private:
    bool m_is_over = false; ///< by the last figure
    duration m_over_for{};
};

} // namespace poplarpitch
