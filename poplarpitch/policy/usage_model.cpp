#include "poplarpitch/policy/usage_model.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

// Twelve octaves, shifted by half a bin of the histogram. A job that uses what it declares has a ratio of 1,
// which lies in the middle of a bin, so exactly the declared amount is reserved for it.
constexpr double min_ratio = 0.01496255; // 2^(-6 - 1/16)
constexpr double max_ratio = 61.2866;    // 2^(6 - 1/16)
constexpr double decay_samples = 200;
constexpr std::int64_t min_millicores = 50;
constexpr std::int64_t min_memory_bytes = 16LL << 20;

std::int64_t scale(std::int64_t declared, double ratio, std::int64_t minimum) {
    const auto scaled = static_cast<std::int64_t>(std::llround(static_cast<double>(declared) * ratio));
    return declared == 0 ? 0 : std::max(scaled, std::min(minimum, declared));
}

} // namespace

usage_model::ratios::ratios()
    : cores(min_ratio, max_ratio, decay_samples), memory(min_ratio, max_ratio, decay_samples),
      time(min_ratio, max_ratio, decay_samples) {}

usage_model::usage_model(const usage_settings& settings) : m_settings(settings) {}

void usage_model::add(const std::string& tenant, const std::string& batch, double cores_ratio,
                      double memory_ratio, double time_ratio) {
    auto& found = m_ratios[{tenant, batch}];
    found.cores.add(cores_ratio);
    found.memory.add(memory_ratio);
    found.time.add(time_ratio);
}

const usage_model::ratios* usage_model::find(const std::string& tenant, const std::string& batch) const {
    const auto found = m_ratios.find(std::pair(tenant, batch));
    if (found == m_ratios.end() || found->second.cores.get_weight() < m_settings.min_samples) {
        return nullptr;
    }
    return &found->second;
}

resources usage_model::get_reservation(const std::string& tenant, const std::string& batch,
                                       const resources& declared) const {
    const auto* known = find(tenant, batch);
    if (known == nullptr) {
        return declared;
    }
    auto reservation = declared;
    reservation.millicores = scale(
        declared.millicores, known->cores.get_quantile_midpoint(m_settings.cores_quantile), min_millicores);
    reservation.memory =
        scale(declared.memory,
              known->memory.get_quantile_midpoint(m_settings.memory_quantile) * m_settings.memory_headroom,
              min_memory_bytes);
    return reservation;
}

double usage_model::get_time_ratio(const std::string& tenant, const std::string& batch) const {
    const auto* known = find(tenant, batch);
    return known == nullptr ? 1.0 : known->time.get_quantile_midpoint(0.5);
}

} // namespace poplarpitch
