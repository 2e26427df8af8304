#include "poplarpitch/policy/relief_ladder.h"

#include <algorithm>

namespace poplarpitch {

relief_settings make_relief_settings(const objective_settings& objective) {
    constexpr double largest_factor = 5;
    constexpr double tiny_weight = 1e-6;
    relief_settings settings;
    const double factor =
        std::clamp(objective.throughput / std::max(objective.tail, tiny_weight), 1.0, largest_factor);
    settings.enter = 1 + (settings.enter - 1) * factor;
    settings.leave = 1 + (settings.leave - 1) * factor;
    return settings;
}

relief_ladder::relief_ladder(const relief_settings& settings) : m_settings(settings) {}

relief_step relief_ladder::update(double slowdown, time_point now) {
    const bool is_pressed = slowdown >= m_settings.enter;
    const bool is_calm = slowdown <= m_settings.leave;
    if (is_pressed != m_is_pressed || is_calm != m_is_calm) {
        m_is_pressed = is_pressed;
        m_is_calm = is_calm;
        m_since = now;
        return m_step;
    }
    if (is_pressed && now - m_since >= m_settings.climb_after && m_step != relief_step::evict) {
        m_step = static_cast<relief_step>(static_cast<int>(m_step) + 1);
        m_since = now;
    } else if (is_calm && now - m_since >= m_settings.descend_after && m_step != relief_step::none) {
        m_step = static_cast<relief_step>(static_cast<int>(m_step) - 1);
        m_since = now;
    }
    return m_step;
}

bool relief_ladder::is_eviction_due(time_point now) const {
    return m_step == relief_step::evict && m_is_pressed &&
           (m_last_eviction == time_point{} || now - m_last_eviction >= m_settings.evict_pause);
}

void relief_ladder::on_evicted(time_point now) {
    m_last_eviction = now;
}

} // namespace poplarpitch
