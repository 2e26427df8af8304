#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/transport/thread_pool.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <map>
#include <thread>

namespace poplarpitch {

/// Runs work at a later time unless it is cancelled before. Used for the second copies of slow requests. One
/// thread waits for all due times; the work runs on separate threads because it waits for answers. Thread
/// safety: any thread, for all methods.
class hedge_timer {
public:
    explicit hedge_timer(int max_threads);
    ~hedge_timer();
    hedge_timer(const hedge_timer&) = delete;
    hedge_timer& operator=(const hedge_timer&) = delete;

    /// Runs `work` at `due`. Returns an id for `cancel`.
    std::uint64_t schedule(time_point due, std::function<void()> work);
    /// Cancels the work. Returns false when it has begun or has ended.
    bool cancel(std::uint64_t id);

private:
    struct item {
        std::uint64_t id = 0;
        std::function<void()> work;
    };

    void wait_and_run();

    thread_pool m_threads;
    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::multimap<time_point, item> m_items ABSL_GUARDED_BY(m_mutex);
    std::map<std::uint64_t, time_point> m_due_times ABSL_GUARDED_BY(m_mutex); ///< by id
    std::uint64_t m_last_id ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_timer_thread;
};

} // namespace poplarpitch
