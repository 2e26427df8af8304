#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>

namespace poplarpitch {

/// Estimates the age of frames on arrival: how long they were delayed between sender and receiver, whose
/// clocks have different zeros. The fastest recent frame counts as one without delay.
///
/// The time of arrival alone is not enough: a process that was suspended reads the frames that have waited
/// for it as if they had just arrived. Thread safety: none.
class frame_age {
public:
    /// Returns how much longer a frame took than the fastest recent one. `sent_ms`: time of sending on the
    /// sender's clock; 0 where the frame has none, which counts as no delay.
    duration estimate(std::int64_t sent_ms, time_point now);
    /// Discards all observations. Called before the frames of another sender.
    void clear() { *this = frame_age{}; }

private:
    bool m_has_any = false;
    /// On the sender's clock, so that a pause of the receiver does not end the window.
    std::int64_t m_window_begin_ms = 0;
    std::int64_t m_min_offset_ms = 0;          ///< smallest clock offset in this window
    std::int64_t m_previous_min_offset_ms = 0; ///< the same of the previous window
};

} // namespace poplarpitch
