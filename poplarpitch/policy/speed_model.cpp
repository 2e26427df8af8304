#include "poplarpitch/policy/speed_model.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr double base_memory_samples = 2000;
constexpr double outlier_factor = 4; // a slower request says more about itself than about its worker

} // namespace

speed_model::speed_model(const speed_settings& settings) : m_settings(settings) {}

void speed_model::add(std::uint32_t service, std::uint32_t worker, double time_us, double interference) {
    if (m_workers.size() <= worker) {
        m_workers.resize(worker + 1);
    }
    if (m_bases.size() <= service) {
        m_bases.resize(service + 1);
    }
    auto& base = m_bases[service];
    auto& speed = m_workers[worker];
    if (speed.evidence <= 0) {
        speed = {1.0, m_settings.prior_weight};
    }
    const double alone_us = time_us / std::max(interference, 1.0);
    if (base.evidence <= 0) {
        base = {alone_us / speed.value, 1};
        return;
    }
    const double clipped_us = std::min(alone_us, outlier_factor * base.value * speed.value);
    base.evidence = std::min(base.evidence + 1, base_memory_samples);
    base.value += (clipped_us / speed.value - base.value) / base.evidence;
    speed.evidence = std::min(speed.evidence + 1, m_settings.decay_samples);
    speed.value += (clipped_us / std::max(base.value, 1.0) - speed.value) / speed.evidence;
    speed.value = std::clamp(speed.value, m_settings.min_factor, m_settings.max_factor);
}

void speed_model::reset(std::uint32_t worker) {
    if (worker < m_workers.size()) {
        m_workers[worker] = {};
    }
}

double speed_model::get_factor(std::uint32_t worker) const {
    return worker < m_workers.size() && m_workers[worker].evidence > 0 ? m_workers[worker].value : 1.0;
}

double speed_model::get_base_us(std::uint32_t service) const {
    return service < m_bases.size() ? m_bases[service].value : 0;
}

} // namespace poplarpitch
