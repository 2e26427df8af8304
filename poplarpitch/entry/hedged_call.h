#pragma once

#include "poplarpitch/transport/http_cancel_token.h"

#include <absl/synchronization/mutex.h>

#include <optional>

namespace poplarpitch {

/// Coordinates two copies of one request (a hedged request). The first good answer wins and cancels the other
/// copy. Thread safety: any thread, for all methods.
template <class Answer>
class hedged_call {
public:
    /// Marks the second copy as running. Returns false when the race is already over.
    bool start_second() {
        const absl::MutexLock lock(&m_mutex);
        if (m_is_over) {
            return false;
        }
        m_is_second_running = true;
        return true;
    }

    /// Called when a copy has ended. The first good answer wins and cancels `other`.
    void finish(Answer answer, bool is_good, bool is_second, http_cancel_token& other) {
        bool has_won = false;
        {
            const absl::MutexLock lock(&m_mutex);
            if (is_second) {
                m_is_second_running = false;
            }
            if (is_good && !m_is_over) {
                m_answer = std::move(answer);
                m_is_over = true;
                has_won = true;
            }
        }
        if (has_won) {
            other.cancel();
        }
    }

    /// Called by the first copy after its end. Waits for a second copy that is still running, ends the race
    /// and returns the winner's answer if there is one.
    std::optional<Answer> wait_for_answer() {
        const absl::MutexLock lock(&m_mutex);
        // Waits for the second copy's thread even after the race is won, because that thread uses the
        // request.
        const auto is_second_done = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
            return !m_is_second_running;
        };
        m_mutex.Await(absl::Condition(&is_second_done));
        m_is_over = true;
        return std::move(m_answer);
    }

    http_cancel_token first;  ///< cancels the first copy
    http_cancel_token second; ///< cancels the second copy

private:
    absl::Mutex m_mutex;
    std::optional<Answer> m_answer ABSL_GUARDED_BY(m_mutex);
    bool m_is_over ABSL_GUARDED_BY(m_mutex) = false;
    bool m_is_second_running ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace poplarpitch
