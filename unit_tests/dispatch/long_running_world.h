#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "unit_tests/dispatch/idle_job_watch.h"
#include "unit_tests/dispatch/long_running_watch.h"
#include "unit_tests/dispatch/simulated_disruption.h"
#include "unit_tests/dispatch/simulated_worker.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace poplarpitch {

/// The workers of a long_running_world and the load of short tasks.
struct long_running_world_settings {
    int workers = 20;
    worker_amounts capacity{16000, 64000, 0};
    bool reports_start_times = true; ///< else a worker that starts again does so under a new id
    bool enforces_capacity = true;   ///< the leader relies on workers to refuse starts for want of room
    double fill = 0.5; ///< share of all processor time that tasks use or wait for, long-running ones included
    duration replacement_time{}; ///< after this a new worker takes the place of one that is gone; 0: never
    duration max_commit_time = milliseconds{30};
    bool reports_loads = false;         ///< workers report tail latencies and progress
    int faulty_percent = 0;             ///< share of the runs that end that fail by their own fault
    duration restart_time = seconds{3}; ///< after a task has crashed its worker

    friend bool operator==(const long_running_world_settings&, const long_running_world_settings&) = default;
};

/// Names of the data centres of a long_running_world.
inline constexpr std::array<const char*, 2> world_data_centres = {"east", "west"};

/// Simulates a dispatcher, its replicated job state and its workers in virtual time. Short tasks keep the
/// pool filled, while a test submits long-running tasks and disrupts workers and the leader. A watch judges
/// by what the workers run. The workers are in two data centres by turns. Every fourth worker has
/// accelerators, and every second one has the label `fast`. The simulation is deterministic: the same seed
/// gives the same run. Thread safety: none, as for all methods.
class long_running_world {
public:
    /// Starts the leader and the workers, and runs until all workers are known.
    long_running_world(const long_running_world_settings& settings, std::uint64_t seed);
    ~long_running_world();
    long_running_world(const long_running_world&) = delete;
    long_running_world& operator=(const long_running_world&) = delete;

    /// Submits a job of one step and watches its tasks if they are long-running. Other tasks take `length`
    /// each. Returns its id.
    job_id submit(const step_spec& step, duration length = {});
    /// Submits a job of several steps whose tasks take `length` each. The task `crashing`, if any, crashes
    /// every worker that starts it. Returns the job's id.
    job_id submit_job(const std::vector<step_spec>& steps, duration length, std::uint32_t max_attempts,
                      const std::optional<task_key>& crashing = std::nullopt);
    /// Lets no task crash its worker any more.
    void stop_crashes() { m_crashing_tasks.clear(); }
    /// Cancels a job; its tasks are no longer watched.
    void cancel(job_id id);
    /// Advances the simulation.
    void run(duration length);
    /// Orders that nothing starts in a data centre, or withdraws the order. The order is sent to each leader
    /// until one has committed it.
    void drain(const std::string& data_centre, bool undo);
    /// Returns true when the latest order for each data centre is committed.
    [[nodiscard]] bool are_drains_committed() const;
    /// Returns the starts in data centres that had been drained for longer than the bound.
    [[nodiscard]] const std::vector<std::string>& get_starts_after_drain() const {
        return m_starts_after_drain;
    }
    /// Sets the share of all processor time that tasks use or wait for.
    void set_fill(double fill) { m_settings.fill = fill; }

    /// Begins a disruption of these workers now, regardless of its delay.
    void disrupt(const simulated_disruption& what, const std::vector<std::size_t>& workers);
    /// Begins a disruption of random workers now.
    void disrupt(const simulated_disruption& what);
    /// Returns the numbers of the workers that run a task of a job.
    [[nodiscard]] std::vector<std::size_t> find_hosts(job_id id) const;

    /// Returns how many tasks of a job run.
    [[nodiscard]] std::size_t count_running(job_id id) const;
    /// Returns how many runs the workers of a data centre have.
    [[nodiscard]] std::size_t count_runs_in(const std::string& data_centre) const;
    /// Returns the share of the processor time of all workers that are up that runs use.
    [[nodiscard]] double get_used_share() const;
    [[nodiscard]] const long_running_watch& get_watch() const { return m_watch; }
    [[nodiscard]] const idle_job_watch& get_idle_watch() const { return m_idle_watch; }
    [[nodiscard]] const job_state_machine& get_job_state() const { return m_job_state; }
    [[nodiscard]] const dispatcher& get_dispatcher() const { return *m_scheduler; }
    [[nodiscard]] time_point get_now() const { return m_now; }
    /// Returns the observed cases of two runs of a task at a time.
    [[nodiscard]] const std::vector<std::string>& get_violations() const { return m_violations; }

private:
    struct machine;
    /// An order whose sender waits for its outcome.
    struct sent_order {
        std::function<void(const order_outcome&)> on_outcome;
        bool is_completed = false;
        bool is_late = false; ///< it is executed long after its sender has given it up
    };
    using sent_order_ptr = std::shared_ptr<sent_order>;
    struct scheduled_call {
        time_point when{};
        std::uint64_t number = 0; ///< orders calls that are due at the same time
        std::function<void()> call;

        friend bool operator>(const scheduled_call& left, const scheduled_call& right) {
            return std::tie(left.when, left.number) > std::tie(right.when, right.number);
        }
    };

    [[nodiscard]] std::int64_t pick(std::int64_t least, std::int64_t most);
    [[nodiscard]] duration pick_time(duration least, duration most);
    void schedule_call(duration wait, std::function<void()> call);
    void configure();
    void step();
    void run_scheduled_calls();
    void add_machine();
    void start_process(machine& target);
    /// Ends the process; with a reset, its senders learn it at once.
    void end_process(machine& target, bool with_reset);
    void end_for_good(machine& target, bool with_reset);
    void leave(machine& target, duration notice);
    void send_heartbeat(machine& target);
    void lose_leader(duration outage);
    void start_leading();
    void drop_uncommitted_commands();
    void tick_leader();
    void commit();
    void apply(const job_wire::job_command& command);
    void send(const worker_order& order);
    template <class Order>
    void send_to(const Order& order, machine& target);
    template <class Order>
    void receive(const Order& order, machine& target, const sent_order_ptr& sent);
    void send_answer(machine& target, const sent_order_ptr& sent, const order_outcome& outcome);
    static void complete(const sent_order_ptr& sent, const order_outcome& outcome);
    void deliver(const hold_order& order, const order_outcome& outcome);
    void deliver(const start_order& order, const order_outcome& outcome);
    void deliver(const stop_order& order, const order_outcome& outcome);
    /// Records when the order to drain was committed, which an operator is told, for the check of starts.
    void record_drains();
    void check_start(const start_order& order, const machine& target);
    void deliver(const pace_order& order, const order_outcome& outcome);
    void begin_run(const start_order& order, machine& target);
    void restart_machine(machine& target, duration outage);
    void observe_jobs();
    void submit_short_tasks();
    void check_runs();
    [[nodiscard]] std::vector<watched_worker> watch_workers() const;
    [[nodiscard]] bool is_disrupted(const machine& target) const;

    long_running_world_settings m_settings;
    std::mt19937_64 m_random;
    job_state_machine m_job_state;
    std::unique_ptr<dispatcher> m_scheduler;
    time_point m_now{};
    std::int64_t m_wall_ms = 0;
    std::uint64_t m_steps = 0;
    log_term m_term = 0;
    std::vector<job_wire::job_command> m_queued_commands;
    std::vector<job_wire::job_command> m_committing_commands;
    std::vector<std::unique_ptr<machine>> m_machines;
    std::priority_queue<scheduled_call, std::vector<scheduled_call>, std::greater<>> m_scheduled_calls;
    std::uint64_t m_next_call = 0;
    std::map<job_id, std::shared_ptr<const step_job>> m_jobs;
    std::map<job_id, duration> m_lengths;
    std::mt19937_64 m_fault_random; ///< of the faults of tasks
    std::set<task_key> m_crashing_tasks;
    std::set<job_id> m_open_jobs;  ///< not ended when last examined
    std::set<job_id> m_short_jobs; ///< not ended when last examined
    std::int64_t m_long_running_millicores = 0;
    long_running_watch m_watch;
    idle_job_watch m_idle_watch;
    std::vector<std::string> m_violations;
    std::map<std::string, bool> m_wanted_drains;    ///< latest order for each data centre
    std::map<std::string, time_point> m_drained_at; ///< when the order was committed, until it is withdrawn
    std::vector<std::string> m_starts_after_drain;
    job_id m_next_job = 1;
    int m_process_count = 0;
};

} // namespace poplarpitch
