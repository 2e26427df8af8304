#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <list>
#include <thread>

namespace poplarpitch {

/// Threads for a server that holds one thread for each open connection: started when needed up to a bound, so
/// that an idle process does not pay for the bound's stacks. Thread safety: any thread, for all methods.
class growing_task_queue {
public:
    /// Precondition: `max_threads` is positive.
    explicit growing_task_queue(int max_threads);
    ~growing_task_queue();
    growing_task_queue(const growing_task_queue&) = delete;
    growing_task_queue& operator=(const growing_task_queue&) = delete;

    /// Runs `task` on an idle thread, on a new one while there is room, else once a thread is free.
    void run(std::function<void()> task);
    /// Lets what was taken end, and joins the threads.
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
