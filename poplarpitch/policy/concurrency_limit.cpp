#include "poplarpitch/policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr double short_mean_weight = 1.0 / 50;
constexpr double long_mean_weight = 1.0 / 2000;
constexpr double timeout_factor = 0.95;
constexpr double min_gradient = 0.5;

} // namespace

concurrency_limit::concurrency_limit(const concurrency_limit_settings& settings)
    : m_settings(settings), m_limit(settings.initial) {}

void concurrency_limit::on_finished(duration latency, double in_flight) {
    const double latency_us = std::max(to_microseconds(latency), 1.0);
    if (m_long_us == 0) {
        m_short_us = latency_us;
        m_long_us = latency_us;
    }
    m_short_us += (latency_us - m_short_us) * short_mean_weight;
    m_long_us += (latency_us - m_long_us) * long_mean_weight;
    // After a slow period, the long-term mean must not stay high for minutes.
    if (m_long_us > 2 * m_short_us) {
        m_long_us *= 1 - long_mean_weight * 10;
    }
    if (in_flight < m_limit / 2) {
        return; // too few requests for the limit to matter, so the sample says nothing about it
    }
    const double gradient = std::clamp(m_settings.tolerance * m_long_us / m_short_us, min_gradient, 1.0);
    const double new_limit = m_limit * gradient + std::sqrt(m_limit);
    m_limit += (new_limit - m_limit) * m_settings.smoothing;
    m_limit = std::clamp(m_limit, m_settings.minimum, m_settings.maximum);
}

void concurrency_limit::on_timeout() {
    m_limit = std::max(m_settings.minimum, m_limit * timeout_factor);
}

void concurrency_limit::set_maximum(double maximum) {
    m_settings.maximum = std::max(maximum, m_settings.minimum);
    m_limit = std::min(m_limit, m_settings.maximum);
}

} // namespace poplarpitch
