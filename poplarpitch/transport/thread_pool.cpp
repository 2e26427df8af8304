#include "poplarpitch/transport/thread_pool.h"

namespace poplarpitch {

thread_pool::thread_pool(int max_threads) : m_max_threads(max_threads) {}

thread_pool::~thread_pool() {
    shut_down();
}

void thread_pool::run(std::function<void()> task) {
    const absl::MutexLock lock(&m_mutex);
    m_tasks.push_back(std::move(task));
    const bool has_too_few_idle = m_idle < static_cast<int>(m_tasks.size());
    if (has_too_few_idle && static_cast<int>(m_threads.size()) < m_max_threads) {
        m_threads.emplace_back([this] { work(); });
    }
}

void thread_pool::work() {
    while (true) {
        std::function<void()> task;
        {
            const absl::MutexLock lock(&m_mutex);
            ++m_idle;
            const auto is_ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_is_shut_down || !m_tasks.empty();
            };
            m_mutex.Await(absl::Condition(&is_ready));
            --m_idle;
            if (m_tasks.empty()) {
                return;
            }
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

void thread_pool::shut_down() {
    std::list<std::thread> threads;
    {
        const absl::MutexLock lock(&m_mutex);
        m_is_shut_down = true;
        threads.swap(m_threads);
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

} // namespace poplarpitch
