#include "poplarpitch/dispatch/worker_trust.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration failure_pause =
    milliseconds{100}; // after one failure; of 160 runs a second, 5% fail through a fault of the task
constexpr duration first_set_aside = seconds{2}; // after the second failure; doubled each time
constexpr std::uint32_t max_doublings = 2;       // 8 s at most; faults of this kind last 5 to 8 s
constexpr duration unsound_pause =
    milliseconds{1500}; // longer than the time between two checks, so that it is renewed
constexpr duration refusal_pause = milliseconds{700};

} // namespace

void worker_trust::on_success() {
    m_is_proven = true;
    m_failures = 0;
    m_times_set_aside = 0;
    m_last_failed = 0;
}

void worker_trust::on_failure(job_id job, time_point now) {
    m_is_proven = false;
    if (job == m_last_failed) {
        return; // the job may be at fault
    }
    m_last_failed = job;
    ++m_failures;
    if (m_failures == 1) {
        m_until = std::max(m_until, now + failure_pause);
        return;
    }
    const auto doublings = std::min(m_times_set_aside, max_doublings);
    m_until = std::max(m_until, now + first_set_aside * (1U << doublings));
    ++m_times_set_aside;
}

void worker_trust::on_refusal(time_point now) {
    m_refuses_until = now + refusal_pause;
    m_until = std::max(m_until, m_refuses_until);
}

void worker_trust::on_unsound(time_point now) {
    m_until = std::max(m_until, now + unsound_pause);
}

} // namespace poplarpitch
