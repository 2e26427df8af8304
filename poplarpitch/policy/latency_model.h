#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/policy/decaying_histogram.h"

namespace poplarpitch {

/// Current distribution of a service's request times. Admission uses it to decide whether a request can still
/// end in time, hedging to decide when an answer is late. Quantiles are cached and recomputed every few
/// samples, since a scan of the histogram on each request would cost more than the rest of the decision.
/// Thread safety: none, as for all methods.
class latency_model {
public:
    latency_model();

    /// Adds the time that one finished request took at its worker.
    void add(duration time);
    /// Returns the median service time; zero before the first sample.
    [[nodiscard]] duration get_median() const { return m_median; }
    /// Returns the 95th percentile; zero before the first sample.
    [[nodiscard]] duration get_p95() const { return m_p95; }
    /// Returns the 99th percentile; zero before the first sample.
    [[nodiscard]] duration get_p99() const { return m_p99; }
    /// Returns the number of samples added.
    [[nodiscard]] std::uint64_t get_count() const { return m_count; }

private:
    void refresh();

    decaying_histogram m_histogram;
    std::uint64_t m_count = 0;
    duration m_median{};
    duration m_p95{};
    duration m_p99{};
};

} // namespace poplarpitch
