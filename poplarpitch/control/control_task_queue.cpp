#include "poplarpitch/control/control_task_queue.h"

#include <algorithm>

namespace poplarpitch {

bool control_task_queue::post(task work) {
    const absl::MutexLock lock(&m_mutex);
    if (m_is_stopped) {
        return false;
    }
    m_tasks.push_back(std::move(work));
    return true;
}

std::vector<control_task_queue::task> control_task_queue::take(duration limit) {
    const absl::MutexLock lock(&m_mutex);
    const auto is_ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_is_stopped || !m_tasks.empty();
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&is_ready),
                             absl::Nanoseconds(std::max<std::int64_t>(limit.count(), 0)));
    return std::exchange(m_tasks, {});
}

void control_task_queue::stop() {
    const absl::MutexLock lock(&m_mutex);
    m_is_stopped = true;
}

bool control_task_queue::is_stopped() {
    const absl::MutexLock lock(&m_mutex);
    return m_is_stopped;
}

} // namespace poplarpitch
