#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>

namespace poplarpitch {

/// Cancellation token of an HTTP exchange. Another thread can cancel the exchange while it waits for its
/// answer: the waiting call then returns at once without one. The peer may still process what was sent.
/// Thread safety: any thread, for all methods.
class http_cancel_token {
public:
    /// Cancels the exchange, or prevents it from starting.
    void cancel();
    [[nodiscard]] bool is_cancelled() const;

    /// Called by the pool before an exchange, with the function that stops it. Returns false when the
    /// exchange is cancelled already.
    bool attach(std::function<void()> stop);
    /// Called by the pool after the exchange. From then on `stop` is not called any more.
    void detach();

private:
    mutable absl::Mutex m_mutex;
    std::function<void()> m_stop ABSL_GUARDED_BY(m_mutex);
    bool m_is_cancelled ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace poplarpitch
