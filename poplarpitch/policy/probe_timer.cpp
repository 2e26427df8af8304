#include "poplarpitch/policy/probe_timer.h"

#include <algorithm>

namespace poplarpitch {

void probe_timer::set_objective(const objective_settings& objective) {
    constexpr double balanced_s = 60; // interval when tail and throughput have the same weight
    constexpr double min_s = 20;      // a probe must end before the next gives new information
    constexpr double max_s =
        1800; // even with most weight on the tail, a change must show within a few of these
    constexpr double min_weight = 1e-6;
    const double ratio = objective.tail / std::max(objective.throughput, min_weight);
    const double interval_s = std::clamp(balanced_s * ratio * ratio * ratio, min_s, max_s);
    m_interval = duration{static_cast<std::int64_t>(interval_s * 1e9)};
}

bool probe_timer::is_due(std::uint32_t batch, time_point now) {
    const bool is_new = batch >= m_last.size() || m_last[batch] == time_point{};
    if (is_new) {
        on_probed(batch, now);
        return false;
    }
    return now - m_last[batch] >= m_interval;
}

void probe_timer::on_probed(std::uint32_t batch, time_point now) {
    if (m_last.size() <= batch) {
        m_last.resize(batch + 1);
    }
    m_last[batch] = now;
}

} // namespace poplarpitch
