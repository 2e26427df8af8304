#include "unit_tests/dispatch/vanishing_worker.h"

#include <utility>

namespace poplarpitch {
namespace {

constexpr duration step_time = milliseconds{20};
constexpr duration heartbeat_interval = seconds{1};
constexpr std::int64_t working_percent = 100;
constexpr std::int64_t tail_ms = 10;

} // namespace

vanishing_worker::vanishing_worker(dispatch_world& world, std::string id)
    : m_world(world), m_id(std::move(id)), m_vanished_at(world.now) {
    for (const auto& [incarnation, state] : world.scheduler.get_workers()) {
        if (incarnation.id != m_id) {
            m_others.push_back(incarnation.id);
        }
    }
}

void vanishing_worker::add_running(const start_order& start) {
    m_running[start.target.worker.id].push_back(start.run);
}

std::optional<duration> vanishing_worker::wait_for_restart(const task_key& task, duration limit) {
    while (m_world.now - m_vanished_at < limit) {
        m_world.advance(step_time);
        fail_expired_orders();
        answer_others();
        for (const auto& start : m_world.take<start_order>()) {
            if (start.target.worker.id == m_id) {
                m_sent.push_back({m_world.now + start.target.timeout, start});
                continue;
            }
            if (start.run.task == task) {
                return m_world.now - m_vanished_at;
            }
            m_world.answer(start);
            add_running(start);
        }
    }
    return std::nullopt;
}

void vanishing_worker::fail_expired_orders() {
    const auto* state = m_world.find_worker(m_id);
    if (state != nullptr && state->is_hold_pending && m_world.now >= state->hold_expires_at) {
        m_world.fail_hold(m_id, m_hold_failure);
    }
    for (const auto& sent : std::exchange(m_sent, {})) {
        if (m_world.now >= sent.expires_at) {
            m_world.answer(sent.order, order_failure::unanswered);
        } else {
            m_sent.push_back(sent);
        }
    }
}

void vanishing_worker::answer_others() {
    const bool is_heartbeat_due = m_world.now >= m_next_heartbeat;
    m_next_heartbeat = is_heartbeat_due ? m_world.now + heartbeat_interval : m_next_heartbeat;
    for (const auto& id : m_others) {
        if (is_heartbeat_due) {
            m_world.send_heartbeat(id);
        }
        const auto* state = m_world.find_worker(id);
        if (state != nullptr && state->is_hold_pending) {
            m_world.answer_hold(id, make_list(id));
        }
    }
}

hold_answer vanishing_worker::make_list(const std::string& worker) const {
    hold_answer answer;
    if (const auto found = m_running.find(worker); found != m_running.end()) {
        for (const auto& run : found->second) {
            answer.running.push_back({run, {}, working_percent, tail_ms});
        }
    }
    return answer;
}

} // namespace poplarpitch
