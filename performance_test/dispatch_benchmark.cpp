// Measures the cost of a leader's decisions by the number of workers: a pass over the waiting tasks, and the
// placement of all tasks of an empty system.
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>

namespace poplarpitch {
namespace {

constexpr std::uint32_t tasks_per_job = 20;
constexpr int serving_tasks_per_worker = 4; // long-running tasks on each worker

/// A leader whose workers all run serving tasks, with waiting jobs of filling tasks.
class loaded_leader {
public:
    /// `unevenness` is the range of the sizes of filling tasks, millicores.
    loaded_leader(int workers, int waiting_tasks, std::int64_t unevenness = 0)
        : m_unevenness(unevenness), m_dispatch({}, m_job_state) {
        m_dispatch.start_leading(1, m_now, m_wall_ms);
        for (int number = 0; number < workers; ++number) {
            add_worker(number);
        }
        const int serving_jobs = workers * serving_tasks_per_worker / static_cast<int>(tasks_per_job);
        for (int number = 0; number < serving_jobs; ++number) {
            submit(number + 1, true);
        }
        settle();
        m_now += seconds{3};
        settle();
        for (int number = 0; number < waiting_tasks / static_cast<int>(tasks_per_job); ++number) {
            submit(1'000'000 + number, false);
        }
    }

    /// Runs one pass over the waiting tasks and discards its decisions.
    void pass() {
        m_now += milliseconds{100};
        m_dispatch.tick(m_now, m_wall_ms);
        const auto commands = m_dispatch.take_commands();
        benchmark::DoNotOptimize(commands.size());
        static_cast<void>(m_dispatch.take_orders());
    }

    /// Compares the leader's state with the replicated job state, which it does each second.
    void audit() {
        benchmark::DoNotOptimize(m_dispatch.find_stuck(m_now).size());
        benchmark::DoNotOptimize(m_dispatch.find_differences(m_now).size());
    }

    /// Searches for tasks and jobs that wait for long, which the leader does each second.
    void find_waits() {
        benchmark::DoNotOptimize(m_dispatch.find_long_waits(m_now).size());
        benchmark::DoNotOptimize(m_dispatch.find_still_jobs(m_now).size());
    }

    void settle() {
        m_dispatch.tick(m_now, m_wall_ms);
        for (const auto& command : m_dispatch.take_commands()) {
            apply(command);
        }
        static_cast<void>(m_dispatch.take_orders());
    }

private:
    void add_worker(int number) {
        worker_report report;
        report.incarnation = {"w" + std::to_string(number), 0};
        report.address = "10.0.0.1:80";
        report.pool = "mill";
        report.rack = "r" + std::to_string(number / 8);
        report.capacity = {64'000, 256'000, 0};
        report.clock_ms = 1'000'000;
        report.sequence = 1;
        m_dispatch.on_heartbeat(report, m_now);
        m_dispatch.tick(m_now, m_wall_ms);
        m_dispatch.on_hold(report.incarnation, {std::nullopt, {1'000'000, {}, {}}}, m_now);
    }

    void submit(int id, bool is_serving) {
        step_job job;
        job.id = static_cast<job_id>(id);
        job.queue.pool = "mill";
        job.queue.priority = is_serving ? 0 : 2;
        job.queue.latency_factor = 2;
        step_spec step;
        step.count = tasks_per_job;
        const auto deviation =
            m_unevenness == 0 ? 0
                              : (std::int64_t{id} * 7'919) % m_unevenness; // a prime, so that all sizes occur
        step.millicores = is_serving ? 13'000 : 7'000 + deviation - m_unevenness / 2;
        step.memory_mb = is_serving ? 26'000 : 13'000;
        step.long_running = is_serving;
        step.target_ms = is_serving ? 50 : 0;
        step.is_filling = !is_serving;
        step.image = (is_serving ? "s" : "f") + std::to_string(id % 9);
        step.estimate_ms = 1700;
        job.steps = {step};
        job_wire::job_command command;
        encode(job, *command.mutable_submit()->mutable_job());
        apply(command);
    }

    void apply(const job_wire::job_command& command) {
        std::vector<job_state_event> events;
        m_job_state.apply(command, events);
        for (const auto& event : events) {
            m_dispatch.on_event(event, m_now, m_wall_ms);
        }
    }

    std::int64_t m_unevenness;
    time_point m_now{seconds{1000}};
    std::int64_t m_wall_ms = 1'700'000'000'000;
    job_state_machine m_job_state;
    dispatcher m_dispatch;
};

/// Measures a pass over 10,000 waiting tasks when most of them do not fit any more.
void run_pass(benchmark::State& state) {
    loaded_leader leader(static_cast<int>(state.range(0)), 10'000);
    leader.settle(); // places what fits
    for (auto _ : state) {
        leader.pass();
    }
}
/// Measures the same pass when almost all jobs request different amounts, as those of real callers do.
void run_uneven_pass(benchmark::State& state) {
    constexpr std::int64_t unevenness = 6'000; // millicores
    loaded_leader leader(static_cast<int>(state.range(0)), 10'000, unevenness);
    leader.settle();
    for (auto _ : state) {
        leader.pass();
    }
}
BENCHMARK(run_uneven_pass)->Arg(66)->Arg(490)->Arg(640)->Unit(benchmark::kMicrosecond);
BENCHMARK(run_pass)->Arg(66)->Arg(490)->Arg(640)->Arg(6000)->Arg(12000)->Unit(benchmark::kMicrosecond);

/// Measures the placement of 10,000 tasks in the first pass after their submission.
void place_all(benchmark::State& state) {
    for (auto _ : state) {
        state.PauseTiming();
        auto leader = std::make_unique<loaded_leader>(static_cast<int>(state.range(0)), 10'000);
        state.ResumeTiming();
        leader->pass();
        state.PauseTiming();
        leader.reset();
        state.ResumeTiming();
    }
}
BENCHMARK(place_all)->Arg(66)->Arg(490)->Arg(640)->Unit(benchmark::kMillisecond)->Iterations(5);

/// Measures the audit of a leader with 50,000 tasks. With 2,500 workers most of them run.
void run_audit(benchmark::State& state) {
    loaded_leader leader(static_cast<int>(state.range(0)), 50'000);
    leader.settle();
    for (auto _ : state) {
        leader.audit();
    }
}
BENCHMARK(run_audit)->Arg(490)->Arg(2500)->Arg(6000)->Arg(12000)->Unit(benchmark::kMicrosecond);

/// Measures the search for long waits with the same tasks.
void search_waits(benchmark::State& state) {
    loaded_leader leader(static_cast<int>(state.range(0)), 50'000);
    leader.settle();
    for (int pass = 0; pass < 50; ++pass) { // 5 s
        leader.pass();
    }
    for (auto _ : state) {
        leader.find_waits();
    }
}
BENCHMARK(search_waits)->Arg(490)->Arg(2500)->Arg(6000)->Arg(12000)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace poplarpitch
