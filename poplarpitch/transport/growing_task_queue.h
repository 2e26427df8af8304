#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <list>
#include <thread>

namespace poplarpitch {

/// Thread pool for a server that occupies one thread for each open connection. Threads are started on demand
/// up to a maximum, so that an idle process does not hold the stacks of all of them. Thread safety: any
/// thread, for all methods.
class growing_task_queue {
public:
    /// Precondition: `max_threads` is positive.
    explicit growing_task_queue(int max_threads);
    ~growing_task_queue();
    growing_task_queue(const growing_task_queue&) = delete;
    growing_task_queue& operator=(const growing_task_queue&) = delete;

    /// Queues `task`. Starts another thread for it when too few are idle and the maximum is not reached.
    void run(std::function<void()> task);
    /// Runs all queued tasks to their end and joins the threads.
    void finish();

private:
    void work();

    const int m_max_threads;
    absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::list<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    int m_idle ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_is_finished ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace poplarpitch
