#include "unit_tests/dispatch/simulated_room.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::int64_t late_penalty_ms = 1'000'000; // as in the dispatcher
constexpr int late_multiple = 3;

/// Returns the next number of a linear congruential generator, 0 to 65535.
std::uint32_t draw(std::uint32_t& state) {
    constexpr std::uint32_t multiplier = 1'664'525;
    constexpr std::uint32_t increment = 1'013'904'223;
    constexpr std::uint32_t low_bits = 16; // which repeat after few numbers
    state = state * multiplier + increment;
    return state >> low_bits;
}

} // namespace

simulated_room::simulated_room(fair_share* shares, duration objective)
    : m_shares(shares), m_objective(objective) {}

void simulated_room::run(const std::vector<simulated_caller>& callers, duration length) {
    const auto end = m_now + length;
    while (m_now < end) {
        for (const auto& caller : callers) {
            submit(caller);
        }
        pass();
        m_now += pass_interval;
    }
}

void simulated_room::submit(const simulated_caller& caller) {
    const auto step_work = static_cast<double>(step_tasks) * to_seconds(task_length);
    auto& due = m_due[caller.key];
    for (due += caller.cores * to_seconds(pass_interval); due >= step_work; due -= step_work) {
        // At any time since the last pass, so that no caller is always ahead of another.
        const auto age = milliseconds{draw(m_submission_state) % to_milliseconds(pass_interval)};
        m_waiting[m_next++] = {caller.key, m_now - age};
    }
}

fair_share::waiting_step simulated_room::describe(job_id id, const step& waiting) const {
    const auto age = m_now - waiting.since;
    const auto slack = m_objective - age - task_length;
    const bool is_past_limit = age + task_length > late_multiple * m_objective;
    const int lateness = slack >= duration{0} ? 0 : is_past_limit ? 2 : 1;
    return {to_milliseconds(slack) + lateness * late_penalty_ms,
            {id, 0, 0},
            lateness,
            {"mill", 0, false},
            waiting.key,
            waiting.tasks,
            to_seconds(task_length)};
}

void simulated_room::pass() {
    while (!m_ends.empty() && m_ends.top() <= m_now) {
        m_ends.pop();
        ++m_free;
    }
    std::erase_if(m_waiting,
                  [this](const auto& item) { return describe(item.first, item.second).lateness == 2; });
    fair_share::ranked_steps ranked;
    std::vector<fair_share::waiting_step> steps;
    for (const auto& [id, waiting] : m_waiting) {
        steps.push_back(describe(id, waiting));
        ranked.emplace_back(steps.back().rank, steps.back().step);
    }
    std::sort(ranked.begin(), ranked.end());
    if (m_shares != nullptr) {
        m_shares->begin_pass(ranked, steps, m_now);
    }
    for (const auto& [rank, key] : ranked) {
        place(key);
    }
    if (m_shares != nullptr) {
        m_shares->end_pass(
            [this](const step_key& key) {
                const auto found = m_waiting.find(key.job);
                return found == m_waiting.end() ? 0 : found->second.tasks;
            },
            m_now);
    }
}

void simulated_room::place(const step_key& key) {
    auto& waiting = m_waiting.at(key.job);
    for (; waiting.tasks > 0 && m_free > 0; --waiting.tasks) {
        --m_free;
        m_ends.push(m_now + task_length / 2 +
                    milliseconds{draw(m_length_state) % to_milliseconds(task_length)});
        m_started[waiting.key] += to_seconds(task_length);
        if (m_shares != nullptr) {
            m_shares->add_use(waiting.key, to_seconds(task_length), m_now);
        }
    }
    if (waiting.tasks == 0) {
        m_waits[key.job] = m_now - waiting.since;
        m_order.push_back(key.job);
        m_waiting.erase(key.job);
    }
}

double simulated_room::get_started(const fair_share::share_key& key) const {
    const auto found = m_started.find(key);
    return found == m_started.end() ? 0 : found->second;
}

} // namespace poplarpitch
