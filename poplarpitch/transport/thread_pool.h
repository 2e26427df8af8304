#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <list>
#include <thread>

namespace poplarpitch {

/// Thread pool, also for a server that occupies one thread for each open connection. Threads are started on
/// demand up to a maximum, so that an idle process does not hold the stacks of all of them. Thread safety:
/// any thread, for all methods.
class thread_pool {
public:
    /// Precondition: `max_threads` is positive.
    explicit thread_pool(int max_threads);
    ~thread_pool();
    thread_pool(const thread_pool&) = delete;
    thread_pool& operator=(const thread_pool&) = delete;

    /// Queues `task`. Starts another thread for it when too few are idle and the maximum is not reached.
    void run(std::function<void()> task);
    /// Runs all queued tasks to their end and joins the threads.
    void shut_down();

private:
    void work();

    const int m_max_threads;
    absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::list<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    int m_idle ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_is_shut_down ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace poplarpitch
