#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// Bounds of an adaptive concurrency limit.
struct concurrency_limit_settings {
    double initial = 64;    ///< requests in flight before anything is known
    double minimum = 4;     ///< never below: some must run to learn from
    double maximum = 10000; ///< the operator's limit
    double tolerance =
        2.0; ///< latency may grow to this multiple of the long-term one before the limit shrinks
    double smoothing = 0.1; ///< share of a new limit taken at once

    friend auto operator<=>(const concurrency_limit_settings&, const concurrency_limit_settings&) = default;
};

/// How many requests of a service may be in flight: grows while latency stays near its long-term value,
/// shrinks in proportion when it rises above, and at once when requests miss their deadlines. The gradient of
/// short over long latency finds the knee without a fixed latency goal, which old and new hardware would not
/// share. Thread safety: none, as for all methods.
class concurrency_limit {
public:
    explicit concurrency_limit(const concurrency_limit_settings& settings = {});

    /// Takes one finished request. `in_flight` is the number that ran beside it when it started.
    void on_finished(duration latency, double in_flight);
    /// Takes one request that missed its deadline or timed out.
    void on_timeout();
    /// Returns the number of requests that may be in flight.
    [[nodiscard]] double get_limit() const { return m_limit; }
    /// Takes a changed maximum.
    void set_maximum(double maximum);

private:
    concurrency_limit_settings m_settings;
    double m_limit;
    double m_short_us = 0; ///< mean over about 50 requests
    double m_long_us = 0;  ///< mean over about 2000 requests
};

} // namespace poplarpitch
