#pragma once

#include "poplarpitch/core/time.h"

namespace poplarpitch {

/// SIGTERM and SIGINT as something a thread can wait for. Blocks both signals in the calling thread and those
/// it starts later, so the object is made before any thread. Thread safety: one waiting thread; `is_raised`
/// from any.
class stop_signal {
public:
    stop_signal();
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;

    /// Waits until a signal came.
    void wait();
    /// Waits until a signal came, at most for `limit`. Returns true when one came.
    bool wait_for(duration limit);
    /// Returns true when a signal came.
    [[nodiscard]] bool is_raised();
    /// Forgets that a signal came, so that the next one can be waited for.
    void reset();

private:
    int m_descriptor = -1; ///< signalfd
    bool m_is_raised = false;
};

} // namespace poplarpitch
