#include "poplarpitch/dispatch/duration_model.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

// Weights of the prior belief that estimates are right, as a number of observed steps. With a weight of two,
// ten steps move the prediction five sixths of the way.
constexpr double prior_level = 2; // steps
constexpr double prior_slope = 2; // steps whose estimates differ from the average by a factor of e

} // namespace

void duration_model::observe(const std::string& queue, std::int64_t estimate_ms, std::int64_t actual_ms) {
    if (estimate_ms < 1 || actual_ms < 1) {
        return;
    }
    const double x = std::log(static_cast<double>(estimate_ms));
    const double y = std::log(static_cast<double>(actual_ms)) - x;
    auto& observed = m_queues[queue];
    observed.count += 1;
    observed.x += x;
    observed.xx += x * x;
    observed.y += y;
    observed.xy += x * y;
}

std::int64_t duration_model::predict(const std::string& queue, std::int64_t estimate_ms) const {
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || estimate_ms < 1) {
        return estimate_ms;
    }
    const auto& observed = found->second;
    const double mean_x = observed.x / observed.count;
    const double deviation_sum = observed.xx - observed.x * mean_x;
    const double slope = (observed.xy - observed.y * mean_x) / (deviation_sum + prior_slope);
    const double level = observed.y / (observed.count + prior_level);
    const double x = std::log(static_cast<double>(estimate_ms));
    return std::max<std::int64_t>(std::llround(std::exp(x + level + slope * (x - mean_x))), 1);
}

} // namespace poplarpitch
