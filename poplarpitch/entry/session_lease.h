#pragma once

#include "poplarpitch/core/time.h"

#include <atomic>

namespace poplarpitch {

/// The entry's lease from control. It is counted from the time at which the renewal was sent, less the drift
/// margin, so it expires here before any other party may regard it as expired. Check it immediately before a
/// send, never before a wait. Thread safety: any thread, for all methods.
class session_lease {
public:
    /// Extends the lease after a granted renewal. `sent` is the time at which the renewal was sent.
    void renew(time_point sent, duration lease, duration margin) {
        m_end.store((sent + lease - margin).time_since_epoch().count());
    }
    /// Returns true while the lease is valid.
    [[nodiscard]] bool is_valid(time_point now) const {
        return now.time_since_epoch().count() < m_end.load();
    }

private:
    std::atomic<std::int64_t> m_end{0}; ///< ns of boot time
};

} // namespace poplarpitch
