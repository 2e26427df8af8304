#include "poplarpitch/dispatch/pressure_model.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr double target_multiple = 5;      // a target lies at about five times the tail without load
constexpr double lowest_share = 0.8;       // even the lowest tail seen has some load in it
constexpr double noise_variance = 0.0025;  // tails are rough: 0.05 of utilisation
constexpr double drift_variance = 0.008;   // of the own load, each second: 0.09
constexpr double full = 0.955;             // from here on a tail only tells that it is too much
constexpr double highest_factor = 8;
constexpr double least_variance = 0.01;    // of a factor: it is never taken for certain
constexpr double trust = 0.5; // of what one look tells of a pair
constexpr double caution = 0.6;            // deviations added to a factor that decides

} // namespace

double pressure_model::get_base(const std::string& image, double target_ms) const {
    const auto found = m_lowest_tails.find(image);
    const double assumed = target_ms / target_multiple;
    return found == m_lowest_tails.end() ? assumed : std::min(assumed, found->second * lowest_share);
}

double pressure_model::get_utilisation(const std::string& image, double tail_ms, double target_ms) const {
    const double base = get_base(image, target_ms);
    return 1 - base / std::max(tail_ms, base);
}

double pressure_model::get_limit(const std::string& image, double target_ms, double share) const {
    return get_utilisation(image, target_ms * share, target_ms);
}

double pressure_model::get_factor(const std::string& serving, const std::string& filling) const {
    const auto found = m_factors.find(pair_key{serving, filling});
    return found == m_factors.end() ? factor{}.mean : found->second.mean;
}

double pressure_model::get_careful_factor(const std::string& serving, const std::string& filling) const {
    const auto found = m_factors.find(pair_key{serving, filling});
    const auto known = found == m_factors.end() ? factor{} : found->second;
    return known.mean + caution * std::sqrt(known.variance);
}

void pressure_model::observe(const std::string& image, double tail_ms, double target_ms,
                             const std::vector<image_share>& others, double seconds_since_last, serving_calm& calm) {
    auto& lowest = m_lowest_tails.try_emplace(image, tail_ms).first->second;
    lowest = std::min(lowest, tail_ms);
    calm.variance = std::min(calm.variance + drift_variance * seconds_since_last, 0.09);
    const double seen = get_utilisation(image, tail_ms, target_ms);
    double expected = calm.load;
    double variance = calm.variance + noise_variance;
    for (const auto& other : others) {
        const auto& known = m_factors[{image, other.image}];
        expected += known.mean * other.share;
        variance += known.variance * other.share * other.share;
    }
    const double error = seen - expected;
    const bool is_full = seen >= full;
    if (is_full && error < 0) {
        return; // it tells no more than what is known
    }
    const double gain = calm.variance / variance;
    calm.load = std::clamp(calm.load + gain * error, 0.0, 1.0);
    calm.variance *= 1 - gain;
    for (const auto& other : others) {
        auto& known = m_factors[{image, other.image}];
        // Half a step: with the first look alone a pair would be blamed for what another one did.
        const double own_gain = trust * known.variance * other.share / variance;
        known.mean = std::clamp(known.mean + own_gain * error, 0.0, highest_factor);
        known.variance = std::max(known.variance * (1 - own_gain * other.share), least_variance);
    }
}

} // namespace poplarpitch
