#pragma once

#include "poplarpitch/core/time.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>

#include <optional>

namespace poplarpitch {

/// One answer on its way from the thread that works to the one that waits, which may have gone when it comes:
/// the two share the slot. Thread safety: one thread gives, one waits.
template <class Answer>
class answer_slot {
public:
    /// Hands the answer over. Precondition: called once.
    void give(const Answer& answer) {
        m_answer = answer;
        m_ready.Notify();
    }

    /// Waits for the answer, at most for `limit`; nothing when it has not come by then.
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
