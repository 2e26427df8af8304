#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// Settings of an adaptive concurrency limit.
struct concurrency_limit_settings {
    double initial = 64;    ///< limit before any request has finished
    double minimum = 4;     ///< lower bound: some requests must run for the limit to adapt
    double maximum = 10000; ///< upper bound, set by the operator
    double tolerance = 2.0; ///< the limit shrinks once latency exceeds this multiple of its long-term mean
    double smoothing = 0.1; ///< share of the difference to a new limit that each update applies

    friend auto operator<=>(const concurrency_limit_settings&, const concurrency_limit_settings&) = default;
};

/// Adaptive limit of the requests of a service that may be in flight. The limit grows while latency stays
/// near its long-term mean, shrinks in proportion when latency rises above it, and shrinks at once when
/// requests miss their deadlines. The ratio of long-term to short-term latency (the gradient) finds the
/// saturation point without a fixed latency bound, which could not suit both old and new hardware. Thread
/// safety: none, as for all methods.
class concurrency_limit {
public:
    explicit concurrency_limit(const concurrency_limit_settings& settings = {});

    /// Updates the limit with one finished request. `in_flight` is the number of requests that ran beside it
    /// when it started.
    void on_finished(duration latency, double in_flight);
    /// Updates the limit with one request that missed its deadline or timed out.
    void on_timeout();
    /// Returns the number of requests that may be in flight.
    [[nodiscard]] double get_limit() const { return m_limit; }
    /// Changes the upper bound; it is kept at or above the lower one.
    void set_maximum(double maximum);

private:
    concurrency_limit_settings m_settings;
    double m_limit;
    double m_short_us = 0; ///< exponential mean over about 50 requests
    double m_long_us = 0;  ///< exponential mean over about 2000 requests
};

} // namespace poplarpitch
