#include "unit_tests/dispatch/simulated_worker.h"

#include "poplarpitch/dispatch/placement.h"
#include "unit_tests/dispatch/simulated_tail.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {
namespace {

constexpr std::int64_t max_lease_ms = 10'000; // a worker shortens longer leases
constexpr std::int64_t first_clock_ms = 1;
constexpr duration stop_time = milliseconds{100};    // from a stop to the end of its run
constexpr duration failure_time = milliseconds{100}; // from the start of a run that fails to its end

duration stretch(duration length, double factor) {
    return std::chrono::duration_cast<duration>(length * factor);
}

} // namespace

simulated_worker::simulated_worker(const worker_report& report, time_point now)
    : m_report(report), m_started(now) {}

std::int64_t simulated_worker::get_clock(time_point now) const {
    return first_clock_ms + to_milliseconds(now - m_started);
}

bool simulated_worker::has_lower_fence(const order_target& target) {
    if (target.fence < m_fence) {
        return true;
    }
    m_fence = target.fence;
    return false;
}

void simulated_worker::extend_lease(std::int64_t lease_end_ms, time_point now) {
    m_lease_ms = std::max(m_lease_ms, std::min(lease_end_ms, get_clock(now) + max_lease_ms));
}

void simulated_worker::receive(const hold_order& order, time_point now, const answer_handler& on_answer) {
    if (has_lower_fence(order.target)) {
        on_answer({order_failure::lower_fence, {}});
        return;
    }
    extend_lease(order.lease_end_ms.value_or(0), now);
    if (order.target.worker == m_report.incarnation) {
        std::erase_if(m_ended,
                      [&](const run_end_entry& row) { return row.number <= order.acknowledged_up_to; });
    }
    if (m_hold) {
        answer_hold(now); // every hold gets an answer
    }
    m_hold = on_answer;
    m_hold_due = now + order.wait;
    advance(now);
}

void simulated_worker::receive(const start_order& order, duration length, time_point now,
                               const answer_handler& on_answer) {
    order_outcome outcome;
    outcome.failure = start(order, length, now);
    outcome.answer.clock_ms = get_clock(now);
    on_answer(outcome);
}

std::optional<order_failure> simulated_worker::start(const start_order& order, duration length,
                                                     time_point now) {
    if (has_lower_fence(order.target)) {
        return order_failure::lower_fence;
    }
    if (order.lease_end_ms < get_clock(now)) {
        return order_failure::lease_already_expired;
    }
    extend_lease(order.lease_end_ms, now);
    if (m_runs.contains(order.run)) {
        return std::nullopt;
    }
    const bool runs_already = std::any_of(
        m_runs.begin(), m_runs.end(), [&](const auto& item) { return item.first.task == order.run.task; });
    if (runs_already || order.run.run <= m_highest_runs[order.run.task]) {
        return order_failure::stale_run;
    }
    simulated_worker_run run;
    run.job = order.job;
    run.started = now;
    auto free = m_report.capacity;
    for (const auto& [key, other] : m_runs) {
        free -= get_need(other.get_spec(key));
    }
    const auto& spec = run.get_spec(order.run);
    if (!free.holds(get_need(spec))) {
        return order_failure::no_capacity;
    }
    if (!spec.long_running) {
        run.length = length;
        run.ends_at = now + stretch(length, 1 / m_speed);
    }
    m_runs.emplace(order.run, std::move(run));
    return std::nullopt;
}

void simulated_worker::receive(const stop_order& order, time_point now, const answer_handler& on_answer) {
    if (has_lower_fence(order.target)) {
        on_answer({order_failure::lower_fence, {}});
        return;
    }
    auto& highest_run = m_highest_runs[order.run.task];
    highest_run = std::max(highest_run, order.run.run);
    if (const auto found = m_runs.find(order.run); found != m_runs.end()) {
        found->second.stopped_at = std::min(found->second.stopped_at, now);
    }
    order_outcome outcome;
    outcome.answer.clock_ms = get_clock(now);
    on_answer(outcome);
}

void simulated_worker::receive(const pace_order& order, time_point now, const answer_handler& on_answer) {
    if (has_lower_fence(order.target)) {
        on_answer({order_failure::lower_fence, {}});
        return;
    }
    if (const auto found = m_runs.find(order.run); found != m_runs.end()) {
        auto& run = found->second;
        if (run.ends_at != time_point::max() || run.left_at_pace_0 > duration{0}) {
            const auto left = run.pace == 0 ? run.left_at_pace_0 : (run.ends_at - now) * run.pace / 100;
            run.left_at_pace_0 = order.percent == 0 ? left : duration{0};
            run.ends_at = order.percent == 0 ? time_point::max() : now + left * 100 / order.percent;
        }
        run.pace = order.percent;
    }
    order_outcome outcome;
    outcome.answer.clock_ms = get_clock(now);
    on_answer(outcome);
}

void simulated_worker::fail_run(const run_key& key, time_point when) {
    if (const auto found = m_runs.find(key); found != m_runs.end()) {
        found->second.fails_at = when;
    }
}

void simulated_worker::end_run_as(const run_key& key, run_end how) {
    if (m_runs.contains(key)) {
        end_run(run_key{key}, how);
    }
}

std::optional<run_end> simulated_worker::find_end(const simulated_worker_run& run, time_point now) const {
    if (get_clock(now) > m_lease_ms) {
        return run_end::lease_expired;
    }
    if (run.stopped_at != time_point::max() && now >= run.stopped_at + stop_time) {
        return run_end::stopped;
    }
    if (now < m_fails_until && now >= run.started + failure_time) {
        return run_end::failed;
    }
    if (now >= run.fails_at) {
        return run_end::failed;
    }
    return now >= run.ends_at ? std::optional{run_end::done} : std::nullopt;
}

void simulated_worker::advance(time_point now) {
    std::vector<std::pair<run_key, run_end>> ends;
    for (const auto& [key, run] : m_runs) {
        if (const auto end = find_end(run, now); end.has_value()) {
            ends.emplace_back(key, *end);
        }
    }
    for (const auto& [key, end] : ends) {
        end_run(key, end);
    }
    if (m_hold && (now >= m_hold_due || !m_ended.empty())) {
        answer_hold(now);
    }
}

void simulated_worker::end_run(const run_key& key, run_end how) {
    m_runs.erase(key);
    auto& highest_run = m_highest_runs[key.task];
    highest_run = std::max(highest_run, key.run);
    m_ended.push_back({m_next_end_number++, key, how, ""});
}

void simulated_worker::answer_hold(time_point now) {
    order_outcome outcome;
    outcome.answer.clock_ms = get_clock(now);
    outcome.answer.process_start_ms = m_report.incarnation.process_start_ms;
    for (const auto& [key, run] : m_runs) {
        outcome.answer.running.push_back(m_reports_loads ? make_entry(key, run, now)
                                                         : run_entry{key, "", 50, 0});
    }
    outcome.answer.ended = m_ended;
    const auto on_answer = take_pending_hold();
    on_answer(outcome);
}

run_entry simulated_worker::make_entry(const run_key& key, const simulated_worker_run& run,
                                       time_point now) const {
    const auto& spec = run.get_spec(key);
    run_entry entry{key, "", 100, spec.millicores * run.pace / 100};
    if (spec.is_serving()) {
        const auto slowdown = (1 + get_interference(spec)) / m_speed;
        entry.level = get_simulated_tail_ms(spec, slowdown - 1, key.task.step.job, now);
    }
    if (!spec.long_running && run.length > duration{0}) {
        const auto left = run.pace == 0 ? run.left_at_pace_0 : (run.ends_at - now) * run.pace / 100;
        entry.percent = std::clamp<std::int64_t>(100 - 100 * stretch(left, m_speed) / run.length, 0, 99);
    }
    return entry;
}

double simulated_worker::get_interference(const step_spec& serving) const {
    double interference = 0;
    for (const auto& [key, run] : m_runs) {
        const auto& spec = run.get_spec(key);
        if (spec.is_filling) {
            const auto share = static_cast<double>(spec.millicores * run.pace) / 100 /
                               static_cast<double>(m_report.capacity.millicores);
            interference += get_simulated_factor(serving.image, spec.image) * share;
        }
    }
    return interference;
}

simulated_worker::answer_handler simulated_worker::take_pending_hold() {
    return std::exchange(m_hold, nullptr);
}

void simulated_worker::set_speed(double speed, time_point now) {
    for (auto& [key, run] : m_runs) {
        if (run.ends_at != time_point::max()) {
            run.ends_at = now + stretch(run.ends_at - now, m_speed / speed);
        }
        run.left_at_pace_0 = stretch(run.left_at_pace_0, m_speed / speed);
    }
    m_speed = speed;
}

void simulated_worker::drain(duration remaining) {
    m_report.is_draining = true;
    m_report.remaining_ms = to_milliseconds(remaining);
}

worker_report simulated_worker::make_heartbeat(time_point now) {
    ++m_report.sequence;
    m_report.clock_ms = get_clock(now);
    return m_report;
}

} // namespace poplarpitch
