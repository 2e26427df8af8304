#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/relay/relay_hub.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "unit_tests/dispatch/idle_job_watch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// Returns the number of seeds that each property is tested with: the value of POPLARPITCH_SEEDS, or a
/// default that takes a few seconds in all.
[[nodiscard]] std::uint64_t get_seed_count();

/// The workers of a crash_world and the faults injected into it. A fault without another unit is a mean rate
/// per second; 0 disables it.
struct crash_world_settings {
    int workers = 20;
    worker_amounts capacity{16000, 64000, 0};
    bool enforces_capacity = true; ///< a worker refuses a start that exceeds its free capacity
    duration crash_after{};        ///< delay from the start of a crashing task to the crash
    duration restart_time = seconds{3};
    double worker_crashes = 0;    ///< of any worker, whatever runs on it
    double worker_partitions = 0; ///< a worker is unreachable for 1 s to `max_partition` and keeps running
    double leader_losses = 0;     ///< a new leader takes over that knows only the replicated job state
    double capacity_changes = 0;  ///< a worker's capacity shrinks to a part of it or is restored
    double lost_answers = 0;      ///< share of starts that are executed without an answer
    bool keeps_ids = false;       ///< a worker restarts under the same id
    duration restart_spread{};    ///< up to this is added to `restart_time`
    double clock_steps = 0;       ///< a worker's wall clock steps back by up to a minute
    double late_orders = 0; ///< share of orders that arrive up to `max_order_delay` late, at any incarnation
    double late_heartbeats = 0;                   ///< share of heartbeats that arrive up to 4 s late
    duration max_order_delay = milliseconds{800}; ///< less than the timeout of an order
    double failures = 0;                          ///< of any run, so that long-running tasks end too

    double delayed_answers = 0; ///< share of answers that are delayed by up to `max_answer_delay`
    duration max_answer_delay = milliseconds{400};
    double broken_connections = 0; ///< share of orders that are executed and whose connection then breaks
    double expired_orders = 0;     ///< share of orders that are executed up to seconds after their timeout
    int data_centres = 0;    ///< each has a relay for its workers; 0: the leader calls the workers directly
    double relay_stalls = 0; ///< a relay stalls for up to 5 s, then processes what arrived meanwhile
    double relay_losses = 0; ///< a relay process is lost with its state; a new one starts within a second
    duration commit_time{};  ///< maximum time of a commit; uncommitted commands may be lost with the leader
    double power_losses = 0; ///< leader and relays are lost together; a new leader follows in 0.2 to 3 s
    double restarts_after_power_loss = 0; ///< share of workers that restart within a second of a power loss
    double failures_after_power_loss = 0; ///< share of runs that fail within two seconds of a power loss
    double departures = 0;                ///< a worker drains, then refuses connections, then exits
    double unhealthy_periods = 0;         ///< a worker answers all orders with 503 for 1 to 3 s
    double one_way_partitions = 0; ///< a worker receives all but nothing it sends arrives, for 1 to 10 s
    duration max_partition = seconds{10}; ///< upper bound of a worker partition, which lasts at least 1 s
    bool partitions_refuse_calls = false; ///< calls to a partitioned worker fail at once, as without a route
    double clock_drift = 0;               ///< workers' clocks run slower by up to this share
    bool delays_heartbeats = false;       ///< the first heartbeat sent in a partition arrives at its end
    duration stop_time = milliseconds{100}; ///< time from a stop to the end of its run
    bool gangs_wait_for_members = false;    ///< members start work once all are running, and end together
    bool shuffles_ends = false;             ///< a list has its ends in random order

    friend bool operator==(const crash_world_settings&, const crash_world_settings&) = default;
};

/// Simulates a dispatcher, its replicated job state and its workers in virtual time, with injected faults:
/// tasks crash their workers, workers restart as new incarnations, are partitioned or change their capacity,
/// and leaders are lost. Records what the workers observe, so that a test can check invariants for any order
/// of events. The simulation is deterministic: the same seed gives the same run.
class crash_world {
public:
    crash_world(const crash_world_settings& settings, std::uint64_t seed);
    ~crash_world();
    crash_world(const crash_world&) = delete;
    crash_world& operator=(const crash_world&) = delete;

    /// Submits a job whose tasks take `length` each. Returns its id.
    job_id submit(const std::vector<step_spec>& steps, duration length);
    /// Cancels a job.
    void cancel(job_id id);
    /// Makes a task crash every worker that starts it, `crash_after` after the start.
    void add_crashing_task(const task_key& task) { m_crashing_tasks.insert(task); }
    /// Advances the simulation.
    void run(duration length);

    [[nodiscard]] const job_state_machine& get_job_state() const { return m_job_state; }
    [[nodiscard]] const dispatcher& get_dispatcher() const { return m_scheduler; }
    /// Returns the number of worker crashes during runs of the task.
    [[nodiscard]] int count_crashes(const task_key& task) const;
    /// Returns the largest number of worker crashes during runs of any one task of a job.
    [[nodiscard]] int get_max_crashes(job_id id) const;
    /// Returns the largest number of runs of any one task of a job that workers ended as failed.
    [[nodiscard]] int get_max_failures(job_id id) const;
    /// Returns how often the task was started after three worker crashes by a leader that had led for at
    /// least 3 s. A leader that has just taken over may not know of all crashes yet.
    [[nodiscard]] int count_starts_after_three_crashes(const task_key& task) const;
    /// Returns the number of runs of a job that are running.
    [[nodiscard]] int count_running(job_id id) const;
    /// Returns the tasks that the dispatcher reports as stuck.
    [[nodiscard]] std::vector<stuck_task> find_stuck() const { return m_scheduler.find_stuck(m_now); }
    /// Crashes a random share of the workers at once.
    void crash_random_workers(double share);
    /// Partitions a random share of the workers for `length`.
    void partition_random_workers(double share, duration length);
    /// Disables all faults but the tasks that crash their workers.
    void stop_faults();
    /// Lets no task crash its worker any more.
    void stop_crashes() { m_crashing_tasks.clear(); }
    /// Begins to watch for jobs with nothing running; the first look takes place after `phase`.
    void watch_idle_jobs(duration phase) { m_idle_watch.emplace(m_now + phase); }
    /// Precondition: `watch_idle_jobs` was called.
    [[nodiscard]] const idle_job_watch& get_idle_watch() const { return *m_idle_watch; }
    /// Returns the number of runs that ended as done.
    [[nodiscard]] int get_done_runs() const { return m_done_runs; }
    /// Returns the number of runs whose lease expired at their worker.
    [[nodiscard]] int get_lapsed_runs() const { return m_lapsed_runs; }
    /// Returns the number of starts that reached a worker with an expired lease.
    [[nodiscard]] int get_late_leases() const { return m_late_leases; }
    /// Returns the number of worker crashes.
    [[nodiscard]] int count_worker_crashes() const { return m_crashed; }
    /// Returns the observed violations of invariants: two runs of a task at a time, a start after the end of
    /// a run as done was committed or acknowledged, a start beyond a worker's capacity.
    [[nodiscard]] const std::vector<std::string>& get_violations() const { return m_violations; }

private:
    struct worker;
    struct relay;
    /// An order whose sender waits for its outcome.
    struct sent_order {
        std::function<void(order_outcome)> on_outcome;
        bool is_completed = false;
    };
    using sent_order_ptr = std::shared_ptr<sent_order>;
    struct task_history {
        int crashes = 0;
        int failures = 0; ///< runs that a worker ended as failed
        int starts_after_three_crashes = 0;
        int running = 0;
        bool is_done = false; ///< a run ended as done, and its worker's incarnation has not ended since
        bool is_started_since = false; ///< the task was started again after that end
        bool is_acknowledged = false;  ///< that end was acknowledged before the worker's lease expired
    };
    struct scheduled_call {
        time_point when{};
        std::uint64_t number = 0; ///< orders calls that are due at the same time
        std::function<void()> call;

        friend bool operator>(const scheduled_call& left, const scheduled_call& right) {
            return std::tie(left.when, left.number) > std::tie(right.when, right.number);
        }
    };

    [[nodiscard]] bool happens(double per_second);
    [[nodiscard]] bool is_chosen(double share) {
        return static_cast<double>(m_random() % 1000) < share * 1000;
    }
    [[nodiscard]] std::size_t pick(std::size_t count) { return static_cast<std::size_t>(m_random() % count); }
    /// Returns a random time of at least `least` and less than `most`.
    [[nodiscard]] duration pick_time(duration least, duration most) {
        return least + milliseconds{pick(static_cast<std::size_t>(to_milliseconds(most - least)))};
    }
    void schedule_call(duration wait, std::function<void()> call);
    void configure();
    void tick_leader();
    void start_leading();
    void step();
    void inject_faults();
    void send_heartbeat(worker& target);
    void crash(worker& target);
    void start_incarnation(worker& target);
    void change_capacity(worker& target);
    void send_report(const worker_report& report);
    void send(const worker_order& order);
    void send_to_worker(const worker_order& order, const std::function<void(order_outcome)>& on_outcome);
    void deliver(const relayed_outcome& item);
    template <class Order>
    void receive_order(const Order& order, worker& target, const sent_order_ptr& sent);
    [[nodiscard]] std::int64_t get_clock(const worker& target) const;
    void acknowledge(worker& target, std::uint64_t number);
    void fail_random_run();
    void lapse(worker& target);
    void record_start(const task_key& task, const worker& target);
    void execute(const hold_order& order, worker& target, const sent_order_ptr& sent);
    void execute(const start_order& order, worker& target, const sent_order_ptr& sent);
    void execute(const stop_order& order, worker& target, const sent_order_ptr& sent);
    [[nodiscard]] std::optional<order_failure> start_run(const start_order& order, worker& target);
    void end_run(worker& target, const run_key& key, run_end how);
    /// Schedules the end of a gang's run when all members are running. Otherwise schedules the end of this
    /// member in case the others do not start in time.
    void start_gang(const run_key& member);
    /// Returns the running members of a gang's run with their workers.
    [[nodiscard]] std::vector<std::pair<worker*, run_key>> find_members(const run_key& member) const;
    void break_gang(const run_key& member);
    void answer_hold(worker& target);
    [[nodiscard]] hold_answer make_list(const worker& target);
    void check_capacity(const worker& target);
    /// Passes the outcome to the order's sender unless it already has one.
    static void complete(const sent_order_ptr& sent, const order_outcome& outcome);
    /// Sends an answer that a worker writes now; faults may delay or lose it.
    void send_answer(worker& target, const sent_order_ptr& sent, const order_outcome& outcome);
    void time_out_after(duration wait, const sent_order_ptr& sent);
    /// Returns the answer to a start or stop. It contains the worker's clock when there are relays.
    [[nodiscard]] order_outcome make_outcome(const worker& target,
                                             std::optional<order_failure> failure) const;

    /// Returns the workers that are up; `reports` gets their reports.
    [[nodiscard]] std::vector<watched_worker> watch_workers(std::vector<worker_report>& reports) const;
    [[nodiscard]] bool is_sound(const worker& target) const;
    [[nodiscard]] bool is_any_disrupted() const;
    void observe_jobs();

    void inject_control_faults();
    void inject_worker_faults();
    void lose_power();
    void fail_runs_after_power_loss();
    void leave(worker& target);
    void end_incarnation(worker& target);
    void commit();
    void drop_uncommitted_commands();
    void start_relay(relay& node);
    void lose_relay(relay& node);
    void send_frames();
    void receive_orders(relay& node, std::uint64_t process_number,
                        const std::shared_ptr<job_wire::relay_orders>& frame);
    void receive_answers(const job_wire::relay_answers& frame);
    void send_relay_answers();

    crash_world_settings m_settings;
    std::mt19937_64 m_random;
    job_state_machine m_job_state;
    dispatcher m_scheduler;
    time_point m_now{seconds{1000}};
    std::int64_t m_wall_ms = 1'700'000'000'000;
    log_term m_term = 0;
    time_point m_leader_since{};
    bool m_has_leader = false;
    relay_hub m_hub;
    std::vector<std::unique_ptr<relay>> m_relays;
    std::vector<job_wire::job_command> m_queued_commands;
    std::vector<job_wire::job_command> m_committing_commands;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::priority_queue<scheduled_call, std::vector<scheduled_call>, std::greater<>> m_scheduled_calls;
    std::uint64_t m_next_call = 0;
    std::map<job_id, duration> m_lengths;
    std::map<job_id, std::shared_ptr<const step_job>> m_jobs; ///< a relayed order contains only the payload
    std::set<job_id> m_open_jobs;                             ///< not ended when last examined
    std::optional<idle_job_watch> m_idle_watch;
    std::set<task_key> m_crashing_tasks;
    std::map<task_key, task_history> m_histories;
    std::vector<std::string> m_violations;
    job_id m_next_job = 1;
    int m_done_runs = 0;
    int m_crashed = 0;
    int m_lapsed_runs = 0;
    int m_late_leases = 0;
    int m_incarnation_count = 0;
};

} // namespace poplarpitch
