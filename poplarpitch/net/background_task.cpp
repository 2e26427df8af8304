#include "poplarpitch/net/background_task.h"

#include "poplarpitch/net/event_loop.h"

#include <absl/synchronization/mutex.h>

#include <cassert>
#include <thread>
#include <utility>

namespace poplarpitch {

/// The state that the loop's thread and the background thread share.
struct background_task::impl {
    explicit impl(event_loop& owner) : loop(owner) {}

    bool should_wake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { return is_stopping || work != nullptr; }

    void run_until_stopped() {
        while (true) {
            std::function<void()> current_work;
            std::function<void()> completion;
            {
                const absl::MutexLock lock(&mutex, absl::Condition(this, &impl::should_wake));
                if (work == nullptr) {
                    return;
                }
                current_work = std::exchange(work, nullptr);
                completion = std::exchange(on_done, nullptr);
            }
            current_work();
            loop.post(std::move(completion));
        }
    }

    event_loop& loop;
    absl::Mutex mutex;
    std::function<void()> work ABSL_GUARDED_BY(mutex);
    std::function<void()> on_done ABSL_GUARDED_BY(mutex);
    bool is_stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

background_task::background_task(event_loop& loop) : m_impl(std::make_unique<impl>(loop)) {
    m_impl->thread = std::thread([shared = m_impl.get()] { shared->run_until_stopped(); });
}

background_task::~background_task() {
    {
        const absl::MutexLock lock(&m_impl->mutex);
        m_impl->is_stopping = true;
    }
    m_impl->thread.join();
}

void background_task::run(std::function<void()> work, std::function<void()> on_done) {
    assert(!m_is_running);
    m_is_running = true;
    const absl::MutexLock lock(&m_impl->mutex);
    m_impl->work = std::move(work);
    m_impl->on_done = [this, completion = std::move(on_done)] {
        m_is_running = false;
        completion();
    };
}

} // namespace poplarpitch
