#include "poplarpitch/dispatch/pressure_model.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr double target_multiple = 5;      // a target is about five times the tail without load
constexpr double min_base_share = 0.8;     // even the lowest observed tail contains some load
constexpr double model_variance = 0.002;   // variance of base / tail by the error of the model
constexpr double tail_noise = 0.08;        // relative measurement noise of a tail latency
constexpr double drift_variance = 0.01;    // of the own load, per second; a standard deviation of 0.1
constexpr double max_load_variance = 0.06; // of the own load, which varies by 50% around its mean
constexpr double saturated_ratio = 0.045;  // a lower base / tail only shows that the load is too high
constexpr double max_factor = 8;
constexpr double max_load = 0.9;
constexpr double min_factor_variance = 0.003; // of a factor, which is never considered certain
constexpr double uncertainty_weight = 0.2;    // standard deviations added to a factor that decisions rely on
constexpr double light_use = 0.55;   // share of the requested processor time at the least interference
constexpr double light_phase = 0.15; // interference factor of the lightest phase

} // namespace

void serving_load::update_trend(double seconds) {
    const double decay_factor = std::exp(-seconds / trend_smoothing_s);
    smoothed_load = decay_factor * smoothed_load + (1 - decay_factor) * load;
    trend = (load - smoothed_load) / trend_smoothing_s;
}

double pressure_model::get_interference_share(double used_millicores, double requested_millicores) {
    const double use = used_millicores / std::max(requested_millicores, 1.0);
    return std::clamp((use - light_use) / (1 - light_use), light_phase, 1.0);
}

void pressure_model::load(const std::vector<pressure_factor>& factors) {
    m_factors.clear();
    m_lowest_tails.clear();
    m_numbers.clear();
    m_names.clear();
    for (const auto& known : factors) {
        const pair_key pair{get_image_number(known.serving), get_image_number(known.filling)};
        m_factors[pair] = {known.mean, known.variance};
    }
}

std::vector<pressure_factor> pressure_model::save() const {
    std::vector<pressure_factor> factors;
    for (const auto& [pair, known] : m_factors) {
        factors.push_back({m_names[pair.first], m_names[pair.second], known.mean, known.variance});
    }
    std::sort(factors.begin(), factors.end());
    return factors;
}

double pressure_model::get_base(image_number image, double target_ms) const {
    const auto found = m_lowest_tails.find(image);
    const double assumed = target_ms / target_multiple;
    return found == m_lowest_tails.end() ? assumed : std::min(assumed, found->second * min_base_share);
}

double pressure_model::get_allowed_slowdown(image_number image, double target_ms, double share,
                                            double load) const {
    const double rise = target_ms * share / get_base(image, target_ms);
    return rise / (1 + load * rise) - 1;
}

double pressure_model::get_factor(image_number serving, image_number filling) const {
    const auto found = m_factors.find(pair_key{serving, filling});
    return found == m_factors.end() ? factor{}.mean : found->second.mean;
}

double pressure_model::get_conservative_factor(image_number serving, image_number filling) const {
    const auto found = m_factors.find(pair_key{serving, filling});
    const auto known = found == m_factors.end() ? factor{} : found->second;
    return known.mean + uncertainty_weight * std::sqrt(known.variance);
}

image_number pressure_model::get_image_number(const std::string& image) {
    const auto [found, is_new] = m_numbers.try_emplace(image, static_cast<image_number>(m_names.size()));
    if (is_new) {
        m_names.push_back(image);
    }
    return found->second;
}

std::vector<double> pressure_model::get_conservative_factors(image_number filling) const {
    std::vector<double> factors(m_names.size());
    for (image_number serving = 0; serving < factors.size(); ++serving) {
        factors[serving] = get_conservative_factor(serving, filling);
    }
    return factors;
}

void pressure_model::observe(image_number image, double tail_ms, double target_ms,
                             const std::vector<image_share>& others, double seconds_since_last,
                             serving_load& own_load) {
    auto& lowest = m_lowest_tails.try_emplace(image, tail_ms).first->second;
    lowest = std::min(lowest, tail_ms);
    own_load.variance = std::min(own_load.variance + drift_variance * seconds_since_last, max_load_variance);
    const double base_ratio = std::min(1.0, get_base(image, target_ms) / tail_ms);
    double slowdown = 1;
    for (const auto& other : others) {
        slowdown += m_factors[{image, other.image}].mean * other.share;
    }
    const double noise = tail_noise * base_ratio;
    double variance = own_load.variance + model_variance + noise * noise;
    for (const auto& other : others) {
        const double slope = other.share / (slowdown * slowdown);
        variance += m_factors[{image, other.image}].variance * slope * slope;
    }
    const double error = base_ratio - (1 / slowdown - own_load.load);
    if (base_ratio < saturated_ratio && error > 0) {
        return; // the sample is saturated and adds no information
    }
    const double gain = own_load.variance / variance;
    own_load.load = std::clamp(own_load.load - gain * error, 0.0, max_load);
    own_load.variance *= 1 - gain;
    own_load.update_trend(seconds_since_last);
    for (const auto& other : others) {
        auto& known = m_factors[{image, other.image}];
        const double slope = -other.share / (slowdown * slowdown);
        const double own_gain = known.variance * slope / variance;
        known.mean = std::clamp(known.mean + own_gain * error, 0.0, max_factor);
        known.variance = std::max(known.variance * (1 - own_gain * slope), min_factor_variance);
    }
}

} // namespace poplarpitch
