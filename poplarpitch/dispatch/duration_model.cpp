#include "poplarpitch/dispatch/duration_model.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

// Weights of the prior belief that estimates are right, as a number of observed steps. With a weight of two,
// ten steps move the prediction five sixths of the way.
constexpr double prior_level = 2; // steps
constexpr double prior_slope = 2; // steps whose estimates differ from the average by a factor of e

// Bounds on the means of loaded logarithms, and on the exponent of a prediction: e^30 ms is 340 years. Sums
// that no steps can have, from a damaged record, would otherwise give times that no integer holds.
constexpr double max_exponent = 30;
// Loaded sums may miss a sum of squares of zero by rounding. Below `prior_slope`, so that slopes stay finite.
constexpr double min_deviation_sum = -1;

} // namespace

bool duration_model::sums::is_plausible() const {
    const bool is_finite = std::isfinite(count) && std::isfinite(x) && std::isfinite(xx) &&
                           std::isfinite(y) && std::isfinite(xy);
    if (!is_finite || count < 1) {
        return false;
    }
    constexpr double max_square = max_exponent * max_exponent;
    return std::abs(x / count) <= max_exponent && std::abs(y / count) <= max_exponent &&
           std::abs(xx / count) <= max_square && std::abs(xy / count) <= max_square &&
           xx - x * (x / count) >= min_deviation_sum;
}

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
    const double exponent = std::min(x + level + slope * (x - mean_x), max_exponent);
    return std::max<std::int64_t>(std::llround(std::exp(exponent)), 1);
}

void duration_model::save(job_wire::learned_durations& message) const {
    std::vector<std::pair<double, std::string>> order;
    for (const auto& [queue, observed] : m_queues) {
        order.emplace_back(-observed.count, queue);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [count, queue] : order) {
        const auto& observed = m_queues.at(queue);
        auto& item = *message.add_queues();
        item.set_queue(queue);
        item.set_count(observed.count);
        item.set_x(observed.x);
        item.set_xx(observed.xx);
        item.set_y(observed.y);
        item.set_xy(observed.xy);
    }
}

void duration_model::load(const job_wire::learned_durations& message) {
    m_queues.clear();
    for (const auto& item : message.queues()) {
        const sums read{item.count(), item.x(), item.xx(), item.y(), item.xy()};
        if (read.is_plausible()) {
            m_queues[item.queue()] = read;
        }
    }
}

} // namespace poplarpitch
