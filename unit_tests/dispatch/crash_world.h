#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/relay/relay_hub.h"
#include "poplarpitch/scheduling/job_book.h"

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

/// Returns how many seeds a property is tried with: POPLARPITCH_SEEDS, or a few seconds' worth.
[[nodiscard]] std::uint64_t get_seed_count();

/// What befalls a crash_world, each as a mean number a second; 0 for never.
struct crash_world_settings {
    int workers = 20;
    worker_amounts capacity{16000, 64000, 0};
    bool enforces_capacity = true; ///< a worker refuses what does not fit
    duration crash_after{};        ///< of tasks that crash their workers, after their start
    duration restart_time = seconds{3};
    double worker_crashes = 0;    ///< of any worker, whatever runs there
    double worker_partitions = 0; ///< a worker out of reach for 1 to 10 s, which runs on
    double leader_losses = 0;     ///< a new leader that knows the book alone
    double capacity_changes = 0;  ///< a worker's room shrinks to a part of it, or is whole again
    double lost_answers = 0;      ///< share of orders that are carried out without an answer
    bool keeps_ids = false;       ///< a worker starts again under the id that it had
    duration restart_spread{};    ///< up to this is added to `restart_time`
    double clock_steps = 0;       ///< the time of day at a worker jumps back by up to a minute
    double late_orders =
        0; ///< share of orders that come up to `max_order_delay` late, for whichever life is there
    double late_heartbeats = 0;                   ///< the same of heartbeats
    duration max_order_delay = milliseconds{800}; ///< less than an order's time
    double failures = 0;                          ///< of any run, so that tasks which last end too

    double delayed_answers =
        0; ///< share of answers that come up to `max_answer_delay` after they were written
    duration max_answer_delay = milliseconds{400};
    double broken_connections = 0; ///< share of orders that are carried out and whose connection ends then
    double expired_orders = 0;     ///< share of orders that are carried out seconds after their time is over
    int data_centres = 0;    ///< each with a relay for the workers there; 0: the leader calls them itself
    double relay_stalls = 0; ///< a relay stands still for up to 5 s and then goes on with what came meanwhile
    double relay_losses = 0; ///< a relay is lost with what it holds and is back, empty, within a second
    duration commit_time{};  ///< up to this passes until a command is committed; what is not is lost
    double power_losses = 0; ///< leader and relays are gone at one moment; a new leader within 0.2 to 3 s
    double restarts_after_power_loss = 0; ///< share of workers that start again within a second of that
    double failures_after_power_loss = 0; ///< share of runs that fail within two seconds of that
    double departures = 0;                ///< a worker drains, refuses connections, and ends a little later
    double unhealthy_periods = 0;         ///< a worker answers all orders with 503 for 1 to 3 s
    double one_way_partitions = 0;        ///< a worker hears all and nobody hears it, for 1 to 10 s
    duration max_partition = seconds{10}; ///< of `worker_partitions`, which last 1 s at least
    bool partitions_refuse_calls =
        false;              ///< calls to a worker that is cut off end at once, as without a route to it
    double clock_drift = 0; ///< workers' clocks are up to this share slower
    bool delays_heartbeats = false;         ///< the first heartbeat of a cut comes at its end
    duration stop_time = milliseconds{100}; ///< from a stop to the end of its run
    bool gangs_wait_for_members = false;    ///< members work once all are there and end as done together
    bool shuffles_ends = false;             ///< a list has its ends in any order

    friend bool operator==(const crash_world_settings&, const crash_world_settings&) = default;
};

/// A dispatcher, its book, and workers that run what they are told, in virtual time: tasks take their time,
/// some crash their workers, workers come back as new lives, are cut off, change their room, and the leader
/// is lost. What workers see is written down, so that a test can check what must hold whatever the order of
/// all this is. The same seed gives the same run.
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
    /// Makes a task crash each worker that starts it.
    void make_killer(const task_key& task) { m_crashing_tasks.insert(task); }
    /// Lets time pass.
    void run(duration length);

    [[nodiscard]] const job_book& get_book() const { return m_book; }
    [[nodiscard]] const dispatcher& get_dispatcher() const { return m_scheduler; }
    /// Returns how many workers crashed while a run of the task was there.
    [[nodiscard]] int count_crashes(const task_key& task) const;
    /// Returns the same of that task of a job under which most workers crashed.
    [[nodiscard]] int count_most_crashes(job_id id) const;
    /// Returns how often the task was started after three workers had crashed under it, by a leader that had
    /// led for 3 s: one that has just taken over may not have heard of all that befell.
    [[nodiscard]] int count_starts_after_three(const task_key& task) const;
    /// Returns how many tasks run now.
    [[nodiscard]] int count_running(job_id id) const;
    /// Returns the tasks that the dispatcher knows to stand still.
    [[nodiscard]] std::vector<stuck_task> find_stuck() const { return m_scheduler.find_stuck(m_now); }
    /// Lets a share of the workers crash at one moment.
    void crash_random_workers(double share);
    /// Cuts a share of the workers off for `length`.
    void partition_random_workers(double share, duration length);
    /// Lets nothing befall the world any more.
    void stop_faults();
    /// Returns how many runs of tasks ended as done.
    [[nodiscard]] int get_done_runs() const { return m_done_runs; }
    /// Returns how many runs lost their lease at their workers.
    [[nodiscard]] int get_lapsed_runs() const { return m_lapsed_runs; }
    /// Returns how many starts came to a worker with a lease that had run out.
    [[nodiscard]] int get_late_leases() const { return m_late_leases; }
    /// Returns how many workers crashed.
    [[nodiscard]] int get_crashed_workers() const { return m_crashed; }
    /// Returns what was seen that must never be: two runs of a task at a time, a start after a run of the
    /// task had ended as done and that was noted or acknowledged, a start beyond a worker's room.
    [[nodiscard]] const std::vector<std::string>& get_violations() const { return m_violations; }

private:
    struct worker;
    struct relay;
    /// An order that its sender waits for.
    struct sent_order {
        std::function<void(hold_outcome)> on_outcome;
        bool is_completed = false;
    };
    using sent_order_ptr = std::shared_ptr<sent_order>;
    struct task_history {
        int crashes = 0;
        int starts_after_three = 0;
        int running = 0;
        bool is_done = false;          ///< a run ended as done, and its worker has not crashed since
        bool is_started_since = false; ///< the task was started after that end
        bool is_acknowledged =
            false; ///< the worker was told to forget that end, and its lease held till then
    };
    struct scheduled_call {
        time_point when{};
        std::uint64_t number = 0; ///< calls of one moment come in the order in which they were made
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
    /// Returns a time from `least` to less than `most`.
    [[nodiscard]] duration pick_time(duration least, duration most) {
        return least + milliseconds{pick(static_cast<std::size_t>(to_milliseconds(most - least)))};
    }
    void schedule_call(duration wait, std::function<void()> call);
    void configure();
    void tick_leader();
    void lead();
    void step();
    void inject_faults();
    void send_heartbeat(worker& target);
    void crash(worker& target);
    void start_life(worker& target);
    void change_capacity(worker& target);
    void send_report(const worker_report& report);
    void send(const worker_order& order);
    void send_to_worker(const worker_order& order, const std::function<void(hold_outcome)>& on_outcome);
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
    /// Lets a gang's run work where all of its members are there now, and its member end that waits too long.
    void start_gang(const run_key& member);
    /// Returns where the members of a gang's run are.
    [[nodiscard]] std::vector<std::pair<worker*, run_key>> find_members(const run_key& member) const;
    void break_gang(const run_key& member);
    void answer_hold(worker& target);
    [[nodiscard]] hold_answer make_list(const worker& target);
    void check_capacity(const worker& target);
    /// Gives an order's sender its outcome, once.
    static void complete(const sent_order_ptr& sent, const hold_outcome& outcome);
    /// Lets a worker's answer, which is written now, go to its sender.
    void send_answer(worker& target, const sent_order_ptr& sent, const hold_outcome& outcome);
    void time_out_after(duration wait, const sent_order_ptr& sent);
    /// Returns the answer to a start or stop: with the worker's clock where there are relays.
    [[nodiscard]] hold_outcome make_outcome(const worker& target, std::optional<order_failure> failure) const;

    void inject_control_faults();
    void inject_worker_faults();
    void lose_power();
    void fail_runs_after_power_loss();
    void leave(worker& target);
    void end_life(worker& target);
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
    job_book m_book;
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
    std::map<job_id, std::shared_ptr<const step_job>> m_jobs; ///< a relayed order has only the payload
    std::set<task_key> m_crashing_tasks;
    std::map<task_key, task_history> m_histories;
    std::vector<std::string> m_violations;
    job_id m_next_job = 1;
    int m_done_runs = 0;
    int m_crashed = 0;
    int m_lapsed_runs = 0;
    int m_late_leases = 0;
    int m_life_count = 0;
};

} // namespace poplarpitch
