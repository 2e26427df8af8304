#pragma once

#include "poplarpitch/core/time.h"

namespace poplarpitch {

/// Spreads the first holds of workers that run nothing, as far as known, over time.
///
/// A new leader learns of all its workers within milliseconds, and has to get a list from each before it uses
/// it. Load pattern: 10,000 workers, of which 2,000 run something. When all got their first holds at once,
/// the relays took longer over them than the leader waits for a sign of life, and the leader lost them. Idle
/// workers are needed last, so beyond a burst their holds follow at a fixed rate. It is a token bucket: a
/// cluster with fewer workers than the burst is not slowed. Thread safety: none, as for all methods.
class first_hold_pacer {
public:
    static constexpr int burst = 2000;
    static constexpr duration interval =
        duration{milliseconds{1}} / 5; ///< between two holds beyond the burst

    /// Starts with a full burst.
    void clear() { m_next = {}; }
    /// Returns when the next hold may be sent, which is `now` or later. Precondition: `now` does not
    /// decrease.
    time_point reserve(time_point now);

private:
    time_point m_next{}; ///< when the bucket is full again
};

} // namespace poplarpitch
