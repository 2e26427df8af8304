#include "poplarpitch/policy/worker_health.h"

#include <algorithm>

namespace poplarpitch {

worker_health::worker_health(const worker_health_settings& settings)
    : m_settings(settings), m_pause(settings.first_pause) {}

void worker_health::on_success() {
    m_failures = 0;
    if (m_trust != worker_trust::probation) {
        return;
    }
    ++m_successes;
    if (m_successes >= m_settings.probation) {
        m_trust = worker_trust::trusted;
        m_pause = m_settings.first_pause;
    }
}

void worker_health::on_failure(time_point now) {
    ++m_failures;
    const bool is_over = m_failures >= m_settings.streak || m_trust == worker_trust::probation;
    if (is_over && m_trust != worker_trust::quarantined) {
        m_trust = worker_trust::quarantined;
        m_until = now + m_pause;
        m_pause = std::min(m_pause * 2, m_settings.longest_pause);
    }
}

worker_trust worker_health::get_trust(time_point now) {
    if (m_trust == worker_trust::quarantined && now >= m_until) {
        m_trust = worker_trust::probation;
        m_successes = 0;
        m_failures = 0;
    }
    return m_trust;
}

} // namespace poplarpitch
