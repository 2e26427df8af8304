#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>

namespace poplarpitch {

/// Backoff for orders to a worker that left the last one unanswered.
///
/// Load pattern: hundreds of workers are cut off at the same moment, each with up to 16 orders to retry. Only
/// one order per worker is retried, to probe whether the worker is reachable again. The pause between these
/// orders doubles, with jitter per worker. Thread safety: none, as for all methods.
class order_backoff {
public:
    /// Records an order that is sent now and is answered within `timeout`.
    void on_sent(time_point now, duration timeout);
    /// Records any answer and ends the backoff. Returns true when orders were held back before.
    bool on_answer();
    /// Records an unanswered order. `shortest` is the first pause. `jitter_seed` is the worker's seed for the
    /// jitter.
    void on_failure(time_point now, duration shortest, std::uint64_t jitter_seed);
    /// Returns true during a pause, when no order may be sent.
    [[nodiscard]] bool is_closed(time_point now) const { return m_failures > 0 && now < m_next; }
    /// Returns true when the last order was the first without an answer. The next order then uses a new
    /// connection, since the open ones may be dead. Later orders find no open connection.
    [[nodiscard]] bool has_just_failed() const { return m_failures == 1; }
    /// Returns when the next order may be sent. Precondition: `is_closed`.
    [[nodiscard]] time_point get_next() const { return m_next; }

private:
    std::uint32_t m_failures = 0; ///< consecutive failures
    time_point m_failed_at{};
    time_point m_next{};
};

/// Returns the pause after this many consecutive failures. It doubles up to eight times `shortest`, and
/// jitter by `jitter_seed` makes it up to a quarter shorter or longer. Precondition: `failures` > 0. Thread
/// safety: any thread.
[[nodiscard]] duration get_backoff(std::uint32_t failures, duration shortest, std::uint64_t jitter_seed);

} // namespace poplarpitch
