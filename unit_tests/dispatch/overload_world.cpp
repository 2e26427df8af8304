#include "unit_tests/dispatch/overload_world.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/dispatch/test_steps.h"

#include <algorithm>
#include <cmath>
#include <type_traits>
#include <variant>

namespace poplarpitch {
namespace {

constexpr int workers = 10;
constexpr worker_amounts capacity{16'000, 64'000, 0};
constexpr double fitting_jobs_per_second = 5; // 160 cores; 32 core-seconds each
constexpr duration tick = milliseconds{10};
constexpr duration heartbeat_interval = seconds{1};
constexpr duration start_time = seconds{2}; // until all workers are known
constexpr std::uint64_t max_return_delay_ms = 100;
constexpr std::int64_t min_length_ms = 800;
constexpr std::int64_t length_spread_ms = 401;

/// Returns how long a task takes: the same in every run, whatever else happens.
duration get_length(const run_key& key) {
    const auto mixed =
        (key.task.step.job * 31 + key.task.step.step) * 131 + std::uint64_t{key.task.index} * 7919;
    return milliseconds{min_length_ms + static_cast<std::int64_t>(mixed % length_spread_ms)};
}

dispatch_settings make_settings(const overload_world_settings& settings) {
    dispatch_settings made;
    made.decisions.refuse_late = settings.refuse_late;
    made.decisions.keep_learned = settings.keep_learned;
    return made;
}

} // namespace

overload_world::overload_world(const overload_world_settings& settings)
    : m_settings(settings), m_world(make_settings(settings)), m_random(settings.seed) {
    m_world.configure_pool(true);
    m_begin = m_world.now;
    m_next_submission = duration::max();
    for (int number = 0; number < workers; ++number) {
        worker_report report;
        report.incarnation = {"w" + std::to_string(number), 0};
        report.address = "10.0.0." + std::to_string(number + 1) + ":80";
        report.pool = world_pool;
        report.rack = "r" + std::to_string(number / 5);
        report.labels = {"a", report.rack};
        report.capacity = capacity;
        m_workers.push_back(std::make_unique<simulated_worker>(report, m_world.now));
    }
    run(start_time);
    m_begin += start_time;
    m_next_submission = duration{0};
    m_next_heartbeat -= start_time;
}

duration overload_world::pick_gap() {
    constexpr double steps = 1'000'000;
    const auto uniform = (static_cast<double>(m_random() % static_cast<std::uint64_t>(steps)) + 1) / steps;
    const auto mean_ms = 1000 / (fitting_jobs_per_second * m_settings.load);
    return milliseconds{static_cast<std::int64_t>(-std::log(uniform) * mean_ms)};
}

step_job overload_world::make_job(job_id id) const {
    step_job job;
    job.id = id;
    job.payload = "payload";
    job.queue.name = "queue";
    job.queue.pool = world_pool;
    job.queue.max_attempts = 3;
    job.queue.latency_factor = 2;
    job.queue.target_latency = seconds{1};
    constexpr std::uint32_t tasks = 8;
    auto step = make_step(tasks);
    step.millicores = 2000;
    job.steps = {step, step};
    job.steps[1].depends_on = {0};
    job.accepted_ms = m_world.wall_ms;
    return job;
}

void overload_world::submit(job_id id) {
    auto& job = m_jobs.at(id);
    const auto made = make_job(id);
    const auto decision = m_world.scheduler.admit(made, m_world.now);
    job.next_visit.reset();
    if (!decision.is_admitted() && id != m_settings.forced_job) {
        job.refused.push_back(get_time());
        job.retry_after.push_back(decision.retry_after);
        job.next_visit = get_time() + decision.retry_after +
                         milliseconds{static_cast<std::int64_t>(id % max_return_delay_ms)};
        return;
    }
    job.admitted = get_time();
    job.was_promised = decision.was_promised;
    m_open.push_back(id);
    job_wire::job_command command;
    encode(made, *command.mutable_submit()->mutable_job());
    m_world.commit(command);
}

admission overload_world::submit_again(job_id id) {
    return m_world.scheduler.admit(make_job(id), m_world.now);
}

void overload_world::submit_due() {
    while (m_next_submission <= get_time() && m_next_submission < m_settings.overload) {
        m_jobs[m_next_job].submitted = get_time();
        submit(m_next_job++);
        m_next_submission += pick_gap();
    }
    for (auto& [id, job] : m_jobs) {
        if (job.next_visit.has_value() && *job.next_visit <= get_time()) {
            submit(id);
        }
    }
}

void overload_world::deliver_orders() {
    for (const auto& order : m_world.scheduler.take_orders()) {
        std::visit(
            [this](const auto& item) {
                using order_type = std::decay_t<decltype(item)>;
                if constexpr (!std::is_same_v<order_type, advice_request>) {
                    const auto found =
                        std::find_if(m_workers.begin(), m_workers.end(), [&](const auto& worker) {
                            return worker->get_report().address == item.target.address;
                        });
                    const auto on_answer = [this, item, term = m_world.term](const order_outcome& outcome) {
                        if (term != m_world.term) {
                            return; // its leader is gone
                        }
                        const order_answer answer{outcome.failure, outcome.answer.clock_ms};
                        if constexpr (std::is_same_v<order_type, hold_order>) {
                            m_world.scheduler.on_hold(item.target.worker, outcome, m_world.now);
                        } else if constexpr (std::is_same_v<order_type, start_order>) {
                            m_world.scheduler.on_start(item.run, answer, m_world.now);
                        } else if constexpr (std::is_same_v<order_type, stop_order>) {
                            m_world.scheduler.on_stop(item.run, item.target.worker, answer, m_world.now);
                        } else {
                            m_world.scheduler.on_pace(item.run, item.percent, answer, m_world.now);
                        }
                    };
                    if constexpr (std::is_same_v<order_type, start_order>) {
                        (*found)->receive(item, get_length(item.run), m_world.now, on_answer);
                    } else {
                        (*found)->receive(item, m_world.now, on_answer);
                    }
                }
            },
            order);
    }
}

void overload_world::observe_ends() {
    std::erase_if(m_open, [this](job_id id) {
        const auto* record = m_world.job_state.find_job(id);
        const bool is_completed = record != nullptr && record->phase == job_phase::completed;
        if (is_completed) {
            m_jobs.at(id).completed = get_time();
        }
        return is_completed;
    });
}

void overload_world::run(duration length) {
    const auto end = m_world.now + length;
    while (m_world.now < end) {
        m_world.advance(tick);
        for (const auto& worker : m_workers) {
            worker->advance(m_world.now);
        }
        if (get_time() >= m_next_heartbeat) {
            m_next_heartbeat = get_time() + heartbeat_interval;
            for (const auto& worker : m_workers) {
                m_world.scheduler.on_heartbeat(worker->make_heartbeat(m_world.now), m_world.now);
            }
        }
        submit_due();
        m_world.run_until_idle();
        deliver_orders();
        observe_ends();
    }
}

void overload_world::change_leader() {
    m_world.start_leading();
    m_next_heartbeat = get_time();
}

} // namespace poplarpitch
