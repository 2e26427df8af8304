#include "poplarpitch/entry/hedge_timer.h"

#include "poplarpitch/core/system_clock.h"

#include <absl/time/time.h>

namespace poplarpitch {

hedge_timer::hedge_timer(int max_threads)
    : m_threads(max_threads), m_timer_thread([this] { wait_and_run(); }) {}

hedge_timer::~hedge_timer() {
    {
        const absl::MutexLock lock(&m_mutex);
        m_is_stopped = true;
        m_changed.Signal();
    }
    m_timer_thread.join();
    m_threads.shut_down();
}

std::uint64_t hedge_timer::schedule(time_point due, std::function<void()> work) {
    const absl::MutexLock lock(&m_mutex);
    const auto id = ++m_last_id;
    const bool is_first = m_items.empty() || due < m_items.begin()->first;
    m_items.emplace(due, item{id, std::move(work)});
    m_due_times.emplace(id, due);
    if (is_first) {
        m_changed.Signal();
    }
    return id;
}

bool hedge_timer::cancel(std::uint64_t id) {
    const absl::MutexLock lock(&m_mutex);
    const auto known = m_due_times.find(id);
    if (known == m_due_times.end()) {
        return false;
    }
    const auto [begin, end] = m_items.equal_range(known->second);
    for (auto candidate = begin; candidate != end; ++candidate) {
        if (candidate->second.id == id) {
            m_items.erase(candidate);
            break;
        }
    }
    m_due_times.erase(known);
    return true;
}

void hedge_timer::wait_and_run() {
    const system_clock clock;
    const absl::MutexLock lock(&m_mutex);
    while (!m_is_stopped) {
        if (m_items.empty()) {
            m_changed.Wait(&m_mutex);
            continue;
        }
        const auto remaining = m_items.begin()->first - clock.now();
        if (remaining.count() > 0) {
            m_changed.WaitWithTimeout(&m_mutex, absl::Nanoseconds(remaining.count()));
            continue;
        }
        auto node = m_items.extract(m_items.begin());
        m_due_times.erase(node.mapped().id);
        m_threads.run(std::move(node.mapped().work));
    }
}

} // namespace poplarpitch
