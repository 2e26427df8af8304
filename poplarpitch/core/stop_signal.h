#pragma once

#include "poplarpitch/core/time.h"

namespace poplarpitch {

/// Lets a thread wait for SIGTERM or SIGINT. Blocks both signals in the calling thread and the threads it
/// starts later, so the object must be created before any thread. Thread safety: one waiting thread;
/// `is_raised` from any thread.
class stop_signal {
public:
    stop_signal();
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;

    /// Waits until a signal arrives.
    void wait();
    /// Waits for a signal for at most `limit`. Returns true if one has arrived.
    bool wait_for(duration limit);
    /// Returns true if a signal has arrived.
    [[nodiscard]] bool is_raised();
    /// Clears the received signal, so that the next one can be waited for.
    void reset();

private:
    int m_descriptor = -1; ///< signalfd
    bool m_is_raised = false;
};

} // namespace poplarpitch
