#include "poplarpitch/net/background_task.h"

#include "poplarpitch/net/event_loop.h"

#include <absl/synchronization/mutex.h>

#include <cassert>
#include <thread>
#include <utility>

namespace poplarpitch {

/// What both threads see.
struct background_task::parts {
    explicit parts(event_loop& owner) : loop(owner) {}

    bool has_order() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { return is_ending || work != nullptr; }

    void work_until_end() {
        while (true) {
            std::function<void()> present;
            std::function<void()> told;
            {
                const absl::MutexLock lock(&mutex, absl::Condition(this, &parts::has_order));
                if (work == nullptr) {
                    return;
                }
                present = std::exchange(work, nullptr);
                told = std::exchange(on_done, nullptr);
            }
            present();
            loop.post(std::move(told));
        }
    }

    event_loop& loop;
    absl::Mutex mutex;
    std::function<void()> work ABSL_GUARDED_BY(mutex);
    std::function<void()> on_done ABSL_GUARDED_BY(mutex);
    bool is_ending ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

background_task::background_task(event_loop& loop) : m_parts(std::make_unique<parts>(loop)) {
    m_parts->thread = std::thread([shared = m_parts.get()] { shared->work_until_end(); });
}

background_task::~background_task() {
    {
        const absl::MutexLock lock(&m_parts->mutex);
        m_parts->is_ending = true;
    }
    m_parts->thread.join();
}

void background_task::run(std::function<void()> work, std::function<void()> on_done) {
    assert(!m_is_running);
    m_is_running = true;
    const absl::MutexLock lock(&m_parts->mutex);
    m_parts->work = std::move(work);
    m_parts->on_done = [this, told = std::move(on_done)] {
        m_is_running = false;
        told();
    };
}

} // namespace poplarpitch
