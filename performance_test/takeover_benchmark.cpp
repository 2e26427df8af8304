// Measures what a new leader does before it can schedule, by the number of workers: it adopts the runs that
// were assigned before its term, then takes a report and a list of runs from each worker.
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr int runs_per_worker = 4;
constexpr std::uint32_t tasks_per_job = 24;
constexpr std::int64_t worker_clock_ms = 1'000'000;

/// The replicated state of a busy cluster, and a leader that takes it over.
class takeover {
public:
    explicit takeover(int workers) : m_dispatch({}, m_job_state) {
        for (int number = 0; number < workers; ++number) {
            m_workers.push_back({"w" + std::to_string((std::int64_t{number} * 7'919) % workers), 0});
        }
        const int jobs = workers * runs_per_worker / static_cast<int>(tasks_per_job);
        for (int number = 0; number < jobs; ++number) {
            submit(number + 1);
        }
    }

    void start_leading() { m_dispatch.start_leading(1, m_now, m_wall_ms); }

    /// Takes the first report of each worker.
    void take_reports() {
        for (const auto& worker : m_workers) {
            worker_report report;
            report.incarnation = worker;
            report.address = get_address(worker);
            report.pool = "mill";
            report.capacity = {64'000, 256'000, 0};
            report.clock_ms = worker_clock_ms;
            report.sequence = 1;
            m_dispatch.on_heartbeat(report, m_now);
        }
    }

    /// Sends the holds that are due and takes an empty list from each worker.
    void take_lists() {
        m_now += milliseconds{10};
        m_dispatch.tick(m_now, m_wall_ms, false);
        benchmark::DoNotOptimize(m_dispatch.take_orders().size());
        for (const auto& worker : m_workers) {
            m_dispatch.on_hold(worker, {std::nullopt, {worker_clock_ms, {}, {}}}, m_now);
        }
        benchmark::DoNotOptimize(m_dispatch.take_commands().size());
    }

private:
    static std::string get_address(const worker_incarnation& worker) { return "10." + worker.id + ":80"; }

    void submit(int id) {
        step_job job;
        job.id = static_cast<job_id>(id);
        job.queue.pool = "mill";
        step_spec step;
        step.count = tasks_per_job;
        step.millicores = 13'000;
        step.long_running = true;
        step.estimate_ms = 400;
        job.steps = {step};
        job_wire::job_command command;
        encode(job, *command.mutable_submit()->mutable_job());
        apply(command);
        for (std::uint32_t index = 0; index < tasks_per_job; ++index) {
            assign({{job.id, 0, 0}, index});
        }
    }

    void assign(const task_key& task) {
        const auto& worker = m_workers[m_assigned++ % m_workers.size()];
        job_wire::job_command command;
        encode(task, *command.mutable_assign()->mutable_task());
        command.mutable_assign()->set_run(1);
        command.mutable_assign()->set_worker(worker.id);
        command.mutable_assign()->set_address(get_address(worker));
        apply(command);
    }

    void apply(const job_wire::job_command& command) {
        std::vector<job_state_event> events;
        m_job_state.apply(command, events);
    }

    std::vector<worker_incarnation> m_workers;
    std::size_t m_assigned = 0;
    time_point m_now{seconds{1000}};
    std::int64_t m_wall_ms = 1'700'000'000'000;
    job_state_machine m_job_state;
    dispatcher m_dispatch;
};

/// Measures the start of a term, which one call does as a whole.
void start_term(benchmark::State& state) {
    takeover leader(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        leader.start_leading();
    }
}
BENCHMARK(start_term)->Arg(1500)->Arg(3000)->Arg(6000)->Arg(12000)->Unit(benchmark::kMillisecond);

/// Measures the first reports and lists of all workers, after the start of a term.
void take_first_lists(benchmark::State& state) {
    for (auto _ : state) {
        state.PauseTiming();
        auto leader = std::make_unique<takeover>(static_cast<int>(state.range(0)));
        leader->start_leading();
        state.ResumeTiming();
        leader->take_reports();
        leader->take_lists();
        state.PauseTiming();
        leader.reset();
        state.ResumeTiming();
    }
}
BENCHMARK(take_first_lists)->Arg(1500)->Arg(3000)->Arg(6000)->Arg(12000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace poplarpitch
