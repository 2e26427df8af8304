#include "poplarpitch/policy/latency_model.h"

namespace poplarpitch {
namespace {

constexpr double min_us = 10;    // shorter times make no difference to a deadline
constexpr double max_us = 600e6; // ten minutes
constexpr double decay_samples =
    2000; // adapts to a load shift within seconds at hundreds of requests per second
constexpr std::uint64_t samples_per_refresh = 32;

duration from_us(double value) {
    return duration{static_cast<std::int64_t>(value * 1000)};
}

} // namespace

latency_model::latency_model() : m_histogram(min_us, max_us, decay_samples) {}

void latency_model::add(duration time) {
    m_histogram.add(to_microseconds(time));
    ++m_count;
    if (m_count < samples_per_refresh || m_count % samples_per_refresh == 0) {
        refresh();
    }
}

void latency_model::refresh() {
    m_median = from_us(m_histogram.get_quantile(0.5));
    m_p95 = from_us(m_histogram.get_quantile(0.95));
    m_p99 = from_us(m_histogram.get_quantile(0.99));
}

} // namespace poplarpitch
