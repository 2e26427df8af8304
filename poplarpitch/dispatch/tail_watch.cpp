#include "poplarpitch/dispatch/tail_watch.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr double near_share =
    0.95; // share of the target; measured tail latencies are off by about 8% in either direction
constexpr double first_reduction =
    0.7; // share of all pressure; enough where the learned factors of the pairs are right
// From here on all pressure on the tail is removed. This is a third of the time that a tail may stay over its
// target, so that the stop, the next measurement and one more attempt fit in.
constexpr duration full_stop_after = milliseconds{1400};
constexpr duration max_counted =
    milliseconds{2000}; // upper bound of the counted time, so that filling tasks may run again afterwards

} // namespace

void tail_watch::observe(double tail_ms, double target_ms, duration passed) {
    m_is_over = tail_ms > target_ms;
    const bool is_near = tail_ms > near_share * target_ms;
    m_over_for = std::clamp(m_over_for + (is_near ? passed : -passed), duration{0}, max_counted);
}

double tail_watch::get_pressure_reduction() const {
    if (m_over_for >= full_stop_after) {
        return 1;
    }
    return m_is_over ? first_reduction : 0;
}

} // namespace poplarpitch
