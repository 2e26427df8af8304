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
        const bool is_finite = std::isfinite(read.x) && std::isfinite(read.xx) && std::isfinite(read.y) &&
                               std::isfinite(read.xy) && std::isfinite(read.count);
        if (is_finite && read.count >= 1) {
            m_queues[item.queue()] = read;
        }
    }
}

} // namespace poplarpitch
