#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>

namespace poplarpitch {

/// Lets another thread break off an exchange that waits for its answer. What was sent may run on; the waiting
/// call returns at once without an answer. Thread safety: any thread, for all methods.
class http_cancel {
public:
    /// Breaks the exchange off, or keeps it from beginning.
    void cancel();
    [[nodiscard]] bool is_cancelled() const;

    /// Called by the pool around an exchange: `stop` ends it. Returns false when it is cancelled already.
    bool attach(std::function<void()> stop);
    /// Called by the pool when the exchange is over; after it `stop` is not called any more.
    void detach();

private:
    mutable absl::Mutex m_mutex;
    std::function<void()> m_stop ABSL_GUARDED_BY(m_mutex);
    bool m_is_cancelled ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace poplarpitch
