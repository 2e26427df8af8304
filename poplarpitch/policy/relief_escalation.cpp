#include "poplarpitch/policy/relief_escalation.h"

#include <algorithm>

namespace poplarpitch {

relief_settings make_relief_settings(const objective_settings& objective) {
    constexpr double max_factor = 5;
    constexpr double min_weight = 1e-6;
    relief_settings settings;
    const double factor =
        std::clamp(objective.throughput / std::max(objective.tail, min_weight), 1.0, max_factor);
    settings.enter_slowdown = 1 + (settings.enter_slowdown - 1) * factor;
    settings.exit_slowdown = 1 + (settings.exit_slowdown - 1) * factor;
    return settings;
}

relief_escalation::relief_escalation(const relief_settings& settings) : m_settings(settings) {}

relief_level relief_escalation::update(double slowdown, time_point now) {
    const bool is_under_pressure = slowdown >= m_settings.enter_slowdown;
    const bool has_recovered = slowdown <= m_settings.exit_slowdown;
    if (is_under_pressure != m_is_under_pressure || has_recovered != m_has_recovered) {
        m_is_under_pressure = is_under_pressure;
        m_has_recovered = has_recovered;
        m_state_since = now;
        return m_level;
    }
    if (is_under_pressure && now - m_state_since >= m_settings.escalate_after &&
        m_level != relief_level::evict) {
        m_level = static_cast<relief_level>(static_cast<int>(m_level) + 1);
        m_state_since = now;
    } else if (has_recovered && now - m_state_since >= m_settings.deescalate_after &&
               m_level != relief_level::none) {
        m_level = static_cast<relief_level>(static_cast<int>(m_level) - 1);
        m_state_since = now;
    }
    return m_level;
}

bool relief_escalation::is_eviction_due(time_point now) const {
    return m_level == relief_level::evict && m_is_under_pressure &&
           (m_last_eviction == time_point{} || now - m_last_eviction >= m_settings.min_eviction_interval);
}

void relief_escalation::on_evicted(time_point now) {
    m_last_eviction = now;
}

} // namespace poplarpitch
