#pragma once

#include "poplarpitch/core/time.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>

#include <optional>

namespace poplarpitch {

/// Passes one result from a working thread to a waiting thread. Both threads share ownership of the slot,
/// because the waiting thread may time out before the result is set. Thread safety: one thread sets, one
/// waits.
template <class Answer>
class answer_slot {
public:
    /// Sets the result and wakes the waiting thread. Precondition: called once.
    void set_value(const Answer& answer) {
        m_answer = answer;
        m_ready.Notify();
    }

    /// Waits for the result for at most `limit`. Returns nothing when it is not set by then.
    std::optional<Answer> wait_for(duration limit) {
        if (!m_ready.WaitForNotificationWithTimeout(absl::Nanoseconds(limit.count()))) {
            return std::nullopt;
        }
        return m_answer;
    }

private:
    absl::Notification m_ready;
    std::optional<Answer> m_answer; ///< set before `m_ready`
};

} // namespace poplarpitch
