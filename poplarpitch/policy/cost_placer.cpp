#include "poplarpitch/policy/cost_placer.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

/// Returns `part / whole`, or 0 when `whole` is not positive.
float get_share(std::int64_t part, std::int64_t whole) {
    return whole > 0 ? static_cast<float>(part) / static_cast<float>(whole) : 0.0F;
}

constexpr float min_request_rate =
    0.01F; // requests per second; a service with a lower rate is weighted with this one

} // namespace

cost_placer::cost_placer(const objective_settings& objective, const cost_placer_settings& settings)
    : m_settings(settings) {
    const double sum = objective.tail + objective.throughput;
    if (sum > 0) {
        m_tail_weight = static_cast<float>(objective.tail / sum);
        m_throughput_weight = static_cast<float>(objective.throughput / sum);
    }
}

float cost_placer::get_growth(const placement_candidate& candidate, const placement_request& request,
                              const interference_model& interference) {
    const float share = get_share(request.need.millicores, candidate.capacity.millicores);
    float growth = 0;
    float rate_sum = 0;
    for (const auto& load : candidate.services) {
        const float rate = std::max(load.rate, min_request_rate);
        growth += rate *
                  static_cast<float>(interference.get_coefficient_upper_bound(load.service, request.batch)) *
                  share;
        rate_sum += rate;
    }
    return rate_sum > 0 ? growth / rate_sum : 0;
}

bool cost_placer::is_refused(const placement_candidate& candidate, const placement_request& request,
                             float growth, const interference_model& interference) const {
    // The bounds tighten as the weight of the tail grows: with equal weights they are twice the settings.
    const float slack = m_tail_weight > 0 ? 1 / m_tail_weight : 1e6F;
    if (candidate.slowdown > m_settings.max_slowdown * slack) {
        return true;
    }
    if (request.is_probe || growth <= m_settings.max_growth * slack) {
        return false;
    }
    return std::any_of(candidate.services.begin(), candidate.services.end(), [&](const service_load& load) {
        return interference.get_evidence(load.service, request.batch) >= m_settings.min_evidence;
    });
}

float cost_placer::get_cost(const placement_candidate& candidate, const placement_request& request,
                            float growth) const {
    const float slowdown_cost = std::max(candidate.slowdown - 1, 0.0F) * m_settings.slowdown_weight;
    const float tail = m_tail_weight * (growth + slowdown_cost * get_share(request.need.millicores,
                                                                           candidate.capacity.millicores));
    const float time = m_throughput_weight * (candidate.speed - 1);
    // Waste is the difference between the shares of cores and memory that stay free, so that neither is left
    // without the other.
    const auto left = candidate.free - request.need;
    const float cores = get_share(left.millicores, candidate.capacity.millicores);
    const float memory = get_share(left.memory, candidate.capacity.memory);
    float waste = m_settings.waste_weight * std::abs(cores - memory);
    if (request.need.accelerators == 0 && candidate.free.accelerators > 0) {
        waste += m_settings.accelerator_weight;
    }
    const float spread = m_settings.spread_weight * static_cast<float>(candidate.tenant_tasks_in_rack);
    return tail + time + waste * m_throughput_weight + spread;
}

std::optional<std::size_t> cost_placer::pick(std::span<const placement_candidate> candidates,
                                             const placement_request& request,
                                             const interference_model& interference) const {
    std::optional<std::size_t> best;
    float best_cost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (!candidate.is_open || candidate.has_failed_before || !candidate.free.can_fit(request.need)) {
            continue;
        }
        const float growth = get_growth(candidate, request, interference);
        if (!request.is_urgent && is_refused(candidate, request, growth, interference)) {
            continue;
        }
        const float cost = get_cost(candidate, request, growth);
        if (!best.has_value() || cost < best_cost) {
            best = index;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace poplarpitch
