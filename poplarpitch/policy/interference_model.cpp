#include "poplarpitch/policy/interference_model.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr double default_prior = 0.2;
constexpr double max_coefficient = 20;
constexpr double min_share = 1e-6;

} // namespace

interference_model::interference_model(const interference_settings& settings) : m_settings(settings) {}

void interference_model::set_prior(std::uint32_t batch, double coefficient) {
    if (m_priors.size() <= batch) {
        m_priors.resize(batch + 1, default_prior);
    }
    m_priors[batch] = coefficient;
}

double interference_model::get_prior(std::uint32_t batch) const {
    return batch < m_priors.size() ? m_priors[batch] : default_prior;
}

const interference_model::pair_estimate* interference_model::find(std::uint32_t service,
                                                                  std::uint32_t batch) const {
    if (service >= m_pairs.size() || batch >= m_pairs[service].size()) {
        return nullptr;
    }
    const auto& pair = m_pairs[service][batch];
    return pair.evidence > 0 ? &pair : nullptr;
}

interference_model::pair_estimate& interference_model::get_or_create(std::uint32_t service,
                                                                     std::uint32_t batch) {
    if (m_pairs.size() <= service) {
        m_pairs.resize(service + 1);
    }
    auto& row = m_pairs[service];
    if (row.size() <= batch) {
        row.resize(batch + 1);
    }
    auto& pair = row[batch];
    if (pair.evidence <= 0) {
        pair.coefficient = get_prior(batch);
        pair.evidence = m_settings.prior_weight;
        pair.variance = 1.0;
    }
    return pair;
}

void interference_model::add(std::uint32_t service, std::span<const co_runner> runners, double slowdown) {
    double square_sum = 0;
    for (const auto& runner : runners) {
        square_sum += runner.share * runner.share;
    }
    if (square_sum < min_share) {
        return;
    }
    const double growth = std::clamp(slowdown, 0.0, m_settings.max_slowdown) - 1;
    double predicted = 0;
    for (const auto& runner : runners) {
        predicted += get_or_create(service, runner.batch).coefficient * runner.share;
    }
    const double error = growth - predicted;
    for (const auto& runner : runners) {
        auto& pair = get_or_create(service, runner.batch);
        // A class with a larger share explains more of the error, so its coefficient changes more.
        const double weight = runner.share * runner.share / square_sum;
        pair.evidence = std::min(pair.evidence + weight, m_settings.decay_samples);
        const double step = weight / pair.evidence;
        pair.coefficient += step * error / std::max(runner.share, min_share);
        pair.coefficient = std::clamp(pair.coefficient, 0.0, max_coefficient);
        const double scaled = error / std::max(std::sqrt(square_sum), min_share);
        pair.variance += step * (scaled * scaled - pair.variance);
    }
}

void interference_model::set_estimate(std::uint32_t service, std::uint32_t batch, double coefficient,
                                      double evidence) {
    auto& pair = get_or_create(service, batch);
    pair.coefficient = std::clamp(coefficient, 0.0, max_coefficient);
    pair.evidence = m_settings.prior_weight + std::clamp(evidence, 0.0, m_settings.decay_samples);
}

double interference_model::predict(std::uint32_t service, std::span<const co_runner> runners) const {
    double growth = 0;
    for (const auto& runner : runners) {
        growth += get_coefficient(service, runner.batch) * runner.share;
    }
    return 1 + growth;
}

double interference_model::get_coefficient(std::uint32_t service, std::uint32_t batch) const {
    const auto* pair = find(service, batch);
    return pair == nullptr ? get_prior(batch) : pair->coefficient;
}

double interference_model::get_coefficient_upper_bound(std::uint32_t service, std::uint32_t batch) const {
    const auto* pair = find(service, batch);
    if (pair == nullptr) {
        return get_prior(batch) * (1 + m_settings.upper_bound_errors);
    }
    return pair->coefficient +
           m_settings.upper_bound_errors * std::sqrt(std::max(pair->variance, 0.0) / pair->evidence);
}

double interference_model::get_evidence(std::uint32_t service, std::uint32_t batch) const {
    const auto* pair = find(service, batch);
    return pair == nullptr ? 0 : pair->evidence - m_settings.prior_weight;
}

} // namespace poplarpitch
