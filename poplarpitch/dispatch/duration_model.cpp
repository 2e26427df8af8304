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
    auto& seen = m_queues[queue];
    seen.count += 1;
    seen.x += x;
    seen.xx += x * x;
    seen.y += y;
    seen.xy += x * y;
}

std::int64_t duration_model::predict(const std::string& queue, std::int64_t estimate_ms) const {
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || estimate_ms < 1) {
        return estimate_ms;
    }
    const auto& seen = found->second;
    const double usual = seen.x / seen.count;
    const double spread = seen.xx - seen.x * usual;
    const double slope = (seen.xy - seen.y * usual) / (spread + prior_slope);
    const double level = seen.y / (seen.count + prior_level);
    const double x = std::log(static_cast<double>(estimate_ms));
    return std::max<std::int64_t>(std::llround(std::exp(x + level + slope * (x - usual))), 1);
}

} // namespace poplarpitch
