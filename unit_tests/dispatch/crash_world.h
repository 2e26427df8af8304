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
    bool guards_room = true; ///< a worker refuses what does not fit
    duration crash_after{};  ///< of tasks that crash their workers, after their start
    duration restart_time = seconds{3};
    double worker_crashes = 0; ///< of any worker, whatever runs there
    double worker_cuts = 0;    ///< a worker out of reach for 1 to 10 s, which runs on
    double leader_losses = 0;  ///< a new leader that knows the book alone
    double room_changes = 0;   ///< a worker's room shrinks to a part of it, or is whole again
    double lost_answers = 0;   ///< share of orders that are carried out without an answer
    bool keeps_ids = false;    ///< a worker starts again under the id that it had
    duration restart_spread{}; ///< up to this is added to `restart_time`
    double clock_steps = 0;    ///< the time of day at a worker jumps back by up to a minute
    double late_orders = 0; ///< share of orders that come up to `lateness` late, for whichever life is there
    double late_beats = 0;  ///< the same of heartbeats
    duration lateness = milliseconds{800}; ///< less than an order's time
    double failures = 0;                   ///< of any run, so that tasks which last end too

    double slow_answers = 0; ///< share of answers that come up to `answer_lateness` after they were written
    duration answer_lateness = milliseconds{400};
    double broken_calls = 0; ///< share of orders that are carried out and whose connection ends then
    double stray_orders = 0; ///< share of orders that are carried out seconds after their time is over
    int data_centres = 0;    ///< each with a relay for the workers there; 0: the leader calls them itself
    double relay_stalls = 0; ///< a relay stands still for up to 5 s and then goes on with what came meanwhile
    double relay_losses = 0; ///< a relay is lost with what it holds and is back, empty, within a second
    duration commit_time{};  ///< up to this passes until a command is committed; what is not is lost
    double power_losses = 0; ///< leader and relays are gone at one moment; a new leader within 0.2 to 3 s
    double restarts_at_loss = 0;        ///< share of workers that start again within a second of that
    double failures_at_loss = 0;        ///< share of runs that fail within two seconds of that
    double leaves = 0;                  ///< a worker drains, refuses connections, and ends a little later
    double unhealthy_times = 0;         ///< a worker answers all orders with 503 for 1 to 3 s
    double mutes = 0;                   ///< a worker hears all and nobody hears it, for 1 to 10 s
    duration longest_cut = seconds{10}; ///< of `worker_cuts`, which last 1 s at least
    bool cuts_refuse = false; ///< calls to a worker that is cut off end at once, as without a route to it
    double clock_drift = 0;   ///< workers' clocks are up to this share slower
    bool holds_beats = false; ///< the first heartbeat of a cut comes at its end
    duration stop_time = milliseconds{100}; ///< from a stop to the end of its run
    bool waits_for_gangs = false;           ///< members work once all are there and end as done together
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
    void make_killer(const task_key& task) { m_killers.insert(task); }
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
    void crash_some(double share);
    /// Cuts a share of the workers off for `length`.
    void cut_some(double share, duration length);
    /// Lets nothing befall the world any more.
    void calm_down();
    /// Returns how many runs of tasks ended as done.
    [[nodiscard]] int get_done() const { return m_done; }
    /// Returns how many runs lost their lease at their workers.
    [[nodiscard]] int get_lapsed() const { return m_lapsed; }
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
        bool is_closed = false;
    };
    using sent_order_ptr = std::shared_ptr<sent_order>;
    struct task_story {
        int crashes = 0;
        int starts_after_three = 0;
        int running = 0;
        bool is_done = false;          ///< a run ended as done, and its worker has not crashed since
        bool is_started_since = false; ///< the task was started after that end
        bool is_acknowledged =
            false; ///< the worker was told to forget that end, and its lease held till then
    };
    struct due_call {
        time_point when{};
        std::uint64_t number = 0; ///< calls of one moment come in the order in which they were made
        std::function<void()> call;

        friend bool operator>(const due_call& left, const due_call& right) {
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
    void call_after(duration wait, std::function<void()> call);
    void configure();
    void settle();
    void lead();
    void step();
    void befall();
    void beat(worker& target);
    void crash(worker& target);
    void revive(worker& target);
    void change_room(worker& target);
    void tell(const worker_report& report);
    void send(const worker_order& order);
    void call(const worker_order& order, const std::function<void(hold_outcome)>& on_outcome);
    void deliver(const relayed_outcome& item);
    template <class Order>
    void arrive(const Order& order, worker& target, const sent_order_ptr& sent);
    [[nodiscard]] std::int64_t get_clock(const worker& target) const;
    void acknowledge(worker& target, std::uint64_t number);
    void fail_some_run();
    void lapse(worker& target);
    void note_start(const task_key& task, const worker& target);
    void carry_out(const hold_order& order, worker& target, const sent_order_ptr& sent);
    void carry_out(const start_order& order, worker& target, const sent_order_ptr& sent);
    void carry_out(const stop_order& order, worker& target, const sent_order_ptr& sent);
    [[nodiscard]] std::optional<order_failure> start(const start_order& order, worker& target);
    void end(worker& target, const run_key& key, run_end how);
    /// Lets a gang's run work where all of its members are there now, and its member end that waits too long.
    void begin_gang(const run_key& member);
    /// Returns where the members of a gang's run are.
    [[nodiscard]] std::vector<std::pair<worker*, run_key>> find_members(const run_key& member) const;
    void break_gang(const run_key& member);
    void answer_hold(worker& target);
    [[nodiscard]] hold_answer list(const worker& target);
    void check_room(const worker& target);
    /// Gives an order's sender its outcome, once.
    static void close(const sent_order_ptr& sent, const hold_outcome& outcome);
    /// Lets a worker's answer, which is written now, go to its sender.
    void answer(worker& target, const sent_order_ptr& sent, const hold_outcome& outcome);
    void close_after(duration wait, const sent_order_ptr& sent);
    /// Returns the answer to a start or stop: with the worker's clock where there are relays.
    [[nodiscard]] hold_outcome make_outcome(const worker& target, std::optional<order_failure> failure) const;

    void befall_control();
    void befall_contacts();
    void lose_power();
    void fail_at_loss();
    void leave(worker& target);
    void end_life(worker& target);
    void commit();
    void lose_commands();
    void found_relay(relay& place);
    void lose_relay(relay& place);
    void send_frames();
    void take_frame(relay& place, std::uint64_t founded,
                    const std::shared_ptr<job_wire::relay_orders>& frame);
    void take_answers(const job_wire::relay_answers& frame);
    void let_relays_tell();

    crash_world_settings m_settings;
    std::mt19937_64 m_random;
    job_book m_book;
    dispatcher m_scheduler;
    time_point m_now{seconds{1000}};
    std::int64_t m_wall_ms = 1'700'000'000'000;
    log_term m_term = 0;
    time_point m_led_at{};
    bool m_is_led = false;
    relay_hub m_hub;
    std::vector<std::unique_ptr<relay>> m_relays;
    std::vector<job_wire::job_command> m_gathered;
    std::vector<job_wire::job_command> m_committing;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::priority_queue<due_call, std::vector<due_call>, std::greater<>> m_calls;
    std::uint64_t m_next_call = 0;
    std::map<job_id, duration> m_lengths;
    std::map<job_id, std::shared_ptr<const step_job>> m_jobs; ///< a relayed order has only the payload
    std::set<task_key> m_killers;
    std::map<task_key, task_story> m_stories;
    std::vector<std::string> m_violations;
    job_id m_next_job = 1;
    int m_done = 0;
    int m_crashed = 0;
    int m_lapsed = 0;
    int m_late_leases = 0;
    int m_lives = 0;
};

} // namespace poplarpitch
