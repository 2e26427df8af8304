#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/scheduling/job_book.h"

#include <cstdint>
#include <functional>
#include <map>
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
    /// Lets nothing befall the world any more.
    void calm_down();
    /// Returns how many runs of tasks ended as done.
    [[nodiscard]] int get_done() const { return m_done; }
    /// Returns how many workers crashed.
    [[nodiscard]] int get_crashed_workers() const { return m_crashed; }
    /// Returns what was seen that must never be: two runs of a task at a time, a start after a run of the
    /// task had ended as done and that was acknowledged, a start beyond a worker's room.
    [[nodiscard]] const std::vector<std::string>& get_violations() const { return m_violations; }

private:
    struct worker;
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
    void send(const worker_order& order);
    template <class Order>
    void arrive(const Order& order, worker& target, log_term term);
    [[nodiscard]] std::int64_t get_clock(const worker& target) const;
    void acknowledge(worker& target, std::uint64_t number);
    void fail_some_run();
    void lapse(worker& target);
    void note_start(const task_key& task, const worker& target);
    void carry_out(const hold_order& order, worker& target, log_term term);
    void carry_out(const start_order& order, worker& target, log_term term);
    void carry_out(const stop_order& order, worker& target, log_term term);
    [[nodiscard]] std::optional<order_failure> start(const start_order& order, worker& target);
    void end(worker& target, const run_key& key, run_end how);
    void answer_hold(worker& target);
    [[nodiscard]] hold_answer list(const worker& target) const;
    void check_room(const worker& target);
    template <class Order>
    void fail(const Order& order, order_failure failure, log_term term);
    template <class Order>
    void reply(const Order& order, std::optional<order_failure> failure, log_term term);

    crash_world_settings m_settings;
    std::mt19937_64 m_random;
    job_book m_book;
    dispatcher m_scheduler;
    time_point m_now{seconds{1000}};
    std::int64_t m_wall_ms = 1'700'000'000'000;
    log_term m_term = 0;
    time_point m_led_at{};
    std::vector<std::unique_ptr<worker>> m_workers;
    std::priority_queue<due_call, std::vector<due_call>, std::greater<>> m_calls;
    std::uint64_t m_next_call = 0;
    std::map<job_id, duration> m_lengths;
    std::set<task_key> m_killers;
    std::map<task_key, task_story> m_stories;
    std::vector<std::string> m_violations;
    job_id m_next_job = 1;
    int m_done = 0;
    int m_crashed = 0;
    int m_lives = 0;
};

} // namespace poplarpitch
