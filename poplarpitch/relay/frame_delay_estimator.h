#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>

namespace poplarpitch {

/// Tells how long frames were on their way, by the clocks of both ends, whose zeros differ: the fastest of
/// late is taken for one that took no time. The time of arrival alone does not tell, since a process that
/// stood still reads what has waited for it as if it had just come. Thread safety: none.
class frame_delay_estimator {
public:
    /// Takes a frame that was sent at `sent_ms` by the sender's clock, 0 where it does not say. Returns how
    /// much longer than the fastest of late it took.
    duration estimate(std::int64_t sent_ms, time_point now);
    /// Forgets all frames: another sender's follow.
    void clear() { *this = frame_delay_estimator{}; }

private:
    bool m_has_any = false;
    std::int64_t m_window_begin_ms =
        0;                            ///< by the sender's clock: one that stands still must not lose its mark
    std::int64_t m_min_offset_ms = 0; ///< smallest offset_ms of the clocks in this span
    std::int64_t m_previous_min_offset_ms = 0; ///< the same of the span before
};

} // namespace poplarpitch
