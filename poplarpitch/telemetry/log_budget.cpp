#include "poplarpitch/telemetry/log_budget.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {

log_budget::decision log_budget::admit(std::string_view kind, time_point now) {
    auto found = m_buckets.find(kind);
    if (found == m_buckets.end()) {
        found = m_buckets.emplace(std::string(kind), bucket{m_settings.burst, now, 0}).first;
    }
    auto& item = found->second;
    const auto passed = std::max(to_seconds(now - item.last_refill), 0.0);
    item.tokens = std::min(item.tokens + passed * m_settings.rate, m_settings.burst);
    item.last_refill = now;
    if (item.tokens < 1) {
        ++item.unreported;
        ++m_left_out;
        return {false, 0};
    }
    item.tokens -= 1;
    return {true, std::exchange(item.unreported, 0)};
}

} // namespace poplarpitch
