#pragma once

#include "poplarpitch/core/time.h"

#include <atomic>

namespace poplarpitch {

/// The entry's lease from control. Counts from the moment the renewal was sent, less the drift margin, so it
/// ends here before anybody else may take it as ended. The check stands right before a send, never before a
/// wait. Thread safety: any thread, for all methods.
class session_lease {
public:
    /// Takes a granted renewal. `sent` is when it was asked for.
    void renew(time_point sent, duration lease, duration margin) {
        m_end.store((sent + lease - margin).time_since_epoch().count());
    }
    /// Returns true while the lease holds.
    [[nodiscard]] bool is_valid(time_point now) const {
        return now.time_since_epoch().count() < m_end.load();
    }

private:
    std::atomic<std::int64_t> m_end{0}; ///< ns of boot time
};

} // namespace poplarpitch
