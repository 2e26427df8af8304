#include "poplarpitch/policy/worker_health.h"

#include <algorithm>

namespace poplarpitch {

worker_health::worker_health(const worker_health_settings& settings)
    : m_settings(settings), m_quarantine(settings.first_quarantine) {}

void worker_health::on_success() {
    m_failures = 0;
    if (m_eligibility != worker_eligibility::probation) {
        return;
    }
    ++m_successes;
    if (m_successes >= m_settings.probation_successes) {
        m_eligibility = worker_eligibility::trusted;
        m_quarantine = m_settings.first_quarantine;
    }
}

void worker_health::on_failure(time_point now) {
    ++m_failures;
    const bool should_quarantine =
        m_failures >= m_settings.failure_limit || m_eligibility == worker_eligibility::probation;
    if (should_quarantine && m_eligibility != worker_eligibility::quarantined) {
        m_eligibility = worker_eligibility::quarantined;
        m_quarantine_end = now + m_quarantine;
        m_quarantine = std::min(m_quarantine * 2, m_settings.max_quarantine);
    }
}

worker_eligibility worker_health::get_eligibility(time_point now) {
    if (m_eligibility == worker_eligibility::quarantined && now >= m_quarantine_end) {
        m_eligibility = worker_eligibility::probation;
        m_successes = 0;
        m_failures = 0;
    }
    return m_eligibility;
}

} // namespace poplarpitch
