#include "unit_tests/dispatch/simulated_tail.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace poplarpitch {
namespace {

constexpr double light_factor = 0.5;    // observed: below 0.8 for most pairs
constexpr double heavy_factor = 3;      // observed: 2 to 6 for the others
constexpr double base_divisor = 5;      // a target is about five times the tail without load
constexpr double mean_load = 0.5;       // of the task's own capacity
constexpr double load_variation = 0.25; // the load varies by half around its mean
constexpr double load_period_s = 16;
constexpr double phase_step_s = 3.7; // between the highest loads of two tasks
constexpr double max_multiple = 12;  // of the target: filling tasks lengthen tails to this at most

} // namespace

double get_simulated_factor(const std::string& serving, const std::string& filling) {
    // The last letters of the names decide, so that the result is the same on all platforms.
    const auto sum = static_cast<unsigned>(serving.empty() ? 0 : serving.back()) +
                     static_cast<unsigned>(filling.empty() ? 0 : filling.back());
    return sum % 3 == 0 ? heavy_factor : light_factor;
}

std::int64_t get_simulated_tail_ms(const step_spec& serving, double interference, std::uint64_t phase,
                                   time_point now) {
    const auto target = static_cast<double>(serving.target_ms);
    const double at = to_seconds(now.time_since_epoch()) + phase_step_s * static_cast<double>(phase % 16);
    const double load = mean_load + load_variation * std::sin(2 * std::numbers::pi * at / load_period_s);
    const double slow = 1 + interference;
    const double left = 1 - load * slow;
    const double highest = max_multiple * target;
    const double tail = left <= 0 ? highest : std::min(highest, target / base_divisor * slow / left);
    return std::max<std::int64_t>(static_cast<std::int64_t>(tail), 1);
}

} // namespace poplarpitch
