#include "poplarpitch/policy/eviction_budget.h"

#include <algorithm>

namespace poplarpitch {

eviction_budget::eviction_budget(const eviction_budget_settings& settings)
    : m_settings(settings), m_tokens(settings.burst) {}

void eviction_budget::refill(time_point now) {
    constexpr double seconds_per_minute = 60;
    if (m_last != time_point{}) {
        m_tokens += to_seconds(now - m_last) * m_settings.per_minute / seconds_per_minute;
        m_tokens = std::min(m_tokens, m_settings.burst);
    }
    m_last = now;
}

bool eviction_budget::has_any(time_point now) {
    refill(now);
    return m_tokens >= 1;
}

bool eviction_budget::try_take(time_point now) {
    if (!has_any(now)) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace poplarpitch
