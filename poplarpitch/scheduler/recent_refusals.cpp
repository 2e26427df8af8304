#include "poplarpitch/scheduler/recent_refusals.h"

namespace poplarpitch {

void recent_refusals::record(std::uint64_t key, time_point now) {
    m_refused_at[key] = now;
    m_order.push_back({key, now});
    forget_old(now);
}

bool recent_refusals::was_refused_since(std::uint64_t key, time_point received, time_point now) {
    forget_old(now);
    const auto found = m_refused_at.find(key);
    return found != m_refused_at.end() && received <= found->second;
}

void recent_refusals::clear() {
    m_refused_at.clear();
    m_order.clear();
}

void recent_refusals::forget_old(time_point now) {
    while (!m_order.empty() && (m_order.size() > max_refusals || now - m_order.front().at > lifetime)) {
        const auto oldest = m_order.front();
        m_order.pop_front();
        const auto found = m_refused_at.find(oldest.key);
        if (found != m_refused_at.end() && found->second == oldest.at) { // else it was refused again
            m_refused_at.erase(found);
        }
    }
}

} // namespace poplarpitch
