#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/admission.h"
#include "poplarpitch/dispatch/dispatch_counts.h"
#include "poplarpitch/dispatch/lasting_quota.h"
#include "poplarpitch/dispatch/leader_load.h"
#include "poplarpitch/dispatch/long_wait.h"
#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/dispatch/refused_shapes.h"
#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/step_advice.h"
#include "poplarpitch/dispatch/stuck_task.h"
#include "poplarpitch/dispatch/suspect_watch.h"
#include "poplarpitch/dispatch/work_forecast.h"
#include "poplarpitch/dispatch/worker_state.h"
#include "poplarpitch/dispatch/worker_table.h"
#include "poplarpitch/scheduling/advice_outcome.h"
#include "poplarpitch/scheduling/book_event.h"
#include "poplarpitch/scheduling/dispatch_settings.h"
#include "poplarpitch/scheduling/job_book.h"
#include "poplarpitch/scheduling/job_timing.h"
#include "poplarpitch/scheduling/worker_order.h"

#include <absl/container/node_hash_map.h>

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace poplarpitch::job_wire {
class job_command;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

class log_event;

/// The leader's hand on the workers: which task runs where, and what became of it.
///
/// It is pure: heartbeats, answers, committed events and time in, orders and commands for the log out, so
/// that a test can place any fault between any two steps. Safety rests on four rules. An assignment is
/// committed before its start is sent. A start without an answer is repeated, which is harmless, or undone by
/// a stop that the worker answered. A run ends for the book when its worker lists the end, lacks it in a list
/// taken after the start was confirmed, is known to be gone, or has surely lost its lease. A new leader
/// raises the fence at each worker and takes its list before it gives it anything. Thread safety: none, as
/// for all methods.
class dispatcher {
public:
    /// Precondition: `book` outlives the dispatcher.
    dispatcher(const dispatch_settings& settings, const job_book& book);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Begins to lead in `term`. Workers are learned from their heartbeats, runs from the book.
    void lead(log_term term, time_point now, std::int64_t wall_ms);
    /// Leads no longer: everything soft is forgotten.
    void retire();
    [[nodiscard]] bool is_leading() const { return m_term != 0; }
    /// Returns the term it leads in; 0 while it does not.
    [[nodiscard]] log_term get_term() const { return m_term; }

    /// Takes how much the leader's thread has to do: under strain it looks more seldom where that only tunes,
    /// and far behind it takes no new jobs.
    void on_load(const leader_load& load) { m_load = load; }
    /// Decides whether a job is taken. One that is taken counts as accepted until `on_not_accepted` is
    /// called. Precondition: the dispatcher leads; the job is sound and not known yet.
    [[nodiscard]] admission admit(const step_job& job, time_point now);
    /// Takes that a job which was to be taken was surely not accepted.
    void on_not_accepted(job_id job);

    /// Takes a heartbeat. Returns true when the worker leaves and the book does not say so yet: the heartbeat
    /// is to be answered once that is committed.
    bool on_heartbeat(const worker_report& report, time_point now);
    /// Takes a heartbeat that says nothing new but its time. Returns false when the report that it repeats is
    /// not the one that is known here: the whole one is wanted.
    bool on_sign_of_life(const sign_of_life& sign, time_point now);
    /// Takes a worker's goodbye.
    void on_goodbye(const worker_life& worker, time_point now);
    /// Takes the answer to the hold that was sent to `worker`; another life of it may have answered.
    void on_hold(const worker_life& worker, const hold_outcome& outcome, time_point now);
    /// Takes the answer to a start.
    void on_start(const run_key& key, const order_answer& answer, time_point now);
    /// Takes the answer to a stop of a run, also of one that is not in the book.
    void on_stop(const run_key& key, const worker_life& worker, const order_answer& answer, time_point now);
    /// Takes the answer to a pace order.
    void on_pace(const run_key& key, int percent, const order_answer& answer, time_point now);
    /// Takes the answer of the advice service.
    void on_advice(const advise_order& request, const advice_outcome& outcome, time_point now);
    /// Takes what a committed command changed.
    void on_event(const book_event& event, time_point now, std::int64_t wall_ms);
    /// Lets time pass: leases, repeated orders, occurrences that fall due, placement. Nothing is placed while
    /// `can_commit` is false: an assignment would only wait for the batch before it.
    void tick(time_point now, std::int64_t wall_ms, bool can_commit = true);

    /// Takes the orders to send since the last call.
    [[nodiscard]] std::vector<worker_order> take_orders();
    /// Takes the commands to commit since the last call.
    [[nodiscard]] std::vector<job_wire::job_command> take_commands();

    /// Takes how long things took since the last call.
    [[nodiscard]] std::vector<job_timing> take_timings();
    /// Returns how many tasks wait for a worker.
    [[nodiscard]] std::uint64_t count_waiting() const;
    /// Returns how many accepted jobs have not ended.
    [[nodiscard]] std::size_t count_open() const { return m_jobs.size(); }
    /// Returns how many accepted jobs of a queue have no task that started.
    [[nodiscard]] std::uint64_t count_pending(const std::string& queue) const;
    /// Returns true when a task of the job has started.
    [[nodiscard]] bool has_started(job_id id) const;
    [[nodiscard]] const std::map<worker_life, worker_state>& get_workers() const {
        return m_workers.get_map();
    }
    [[nodiscard]] const dispatch_counts& get_counts() const { return m_counts; }
    /// Returns how many tasks may be at fault for the crash of a worker.
    [[nodiscard]] std::size_t count_suspects() const { return m_suspects.get_size(); }
    /// Returns what is known of a worker, or null.
    [[nodiscard]] const worker_state* find_worker_state(const worker_life& life) const {
        return m_workers.find(life);
    }
    /// Returns the tasks of open jobs that nothing will bring to their end, in order: none, unless there is a
    /// fault.
    [[nodiscard]] std::vector<stuck_task> find_stuck(time_point now) const;
    /// Returns tasks that wait for long though workers have room for them, some of them: those that last and
    /// the oldest first.
    [[nodiscard]] std::vector<long_wait> find_long_waits(time_point now);
    /// Returns the track of a run, or null.
    [[nodiscard]] const run_track* find_track(const run_key& key) const;

private:
    /// What the leader knows of an open job.
    struct open_job {
        time_point accepted{};
        bool has_started = false;
        absl::btree_map<run_key, run_track*> runs; ///< assigned and not ended
        time_point idle_since{};                   ///< while it has no runs: since when
        std::map<std::uint32_t, time_point>
            due; ///< of the occurrences that have begun; empty for a job that runs once
    };
    /// The tasks of a step that wait for a worker.
    struct ready_step {
        std::shared_ptr<const step_job> job;
        std::set<std::uint32_t> waiting;
        time_point since{};            ///< when the first of them began to wait
        std::int64_t objective_ms = 0; ///< of the job
        std::int64_t remaining_ms = 0; ///< forecast for this step and what follows it

        /// Returns what its waiting tasks ask for, millicores.
        [[nodiscard]] std::int64_t get_wanted(const step_key& key) const {
            return job->steps[key.step].millicores * static_cast<std::int64_t>(waiting.size());
        }
    };
    /// What one pass over the waiting tasks has found out so far.
    struct placing_pass {
        time_point now{};
        std::map<std::string, std::vector<worker_state*>> usable; ///< workers by pool
        refused_shapes refused;
        std::size_t probations_left = 0; ///< workers that may yet be given to a suspect for itself
    };
    /// What became of a waiting task in a pass.
    enum class placement_result : std::uint8_t {
        placed,
        deferred, ///< it waits for something of its own, and keeps no other task waiting
        no_room,  ///< those behind it wait too
    };
    /// A worker that holds a task; the first of those with the least cost is the best.
    struct candidate {
        double cost = 0;
        std::size_t place = 0; ///< in the order of workers
        worker_state* worker = nullptr;

        friend auto operator<=>(const candidate& left, const candidate& right) {
            return std::tie(left.cost, left.place) <=> std::tie(right.cost, right.place);
        }
    };

    /// What a worker listed, in order, and when it was asked for: the list may be older than answers that
    /// came before it.
    struct requested_list {
        std::vector<run_key> runs;
        time_point requested_at{};
    };

    /// A start or stop that is to be sent at a time.
    struct scheduled_order {
        time_point when{};
        run_key run;

        friend auto operator<=>(const scheduled_order&, const scheduled_order&) = default;
    };

    // jobs
    void open(const job_record& record, time_point accepted, time_point now, std::int64_t wall_ms);
    void adopt_worker(const assigned_run& run, time_point now);
    /// Takes up what the book says of a job's tasks that may have crashed workers.
    void restore_suspects(const job_record& record, time_point now);
    void begin_occurrence(const job_record& record, std::uint32_t occurrence, time_point now);
    void make_step_ready(const job_record& record, const step_key& key, time_point now);
    void make_task_ready(const task_key& key, time_point now);
    void close(job_id id, time_point now);
    void record_first_start(job_id id, time_point now);
    void record_job_end(job_id id, time_point now);
    void on_run_ended(const book_event& event, time_point now);
    /// Tells the forecast how long an ending run took.
    void record_run_time(const run_track& track, run_end end, time_point now);
    void break_gang(const run_key& ended, time_point now);
    /// Tells the quota what the pools are used for.
    void observe_pools(time_point now);
    void measure_filling_backlog();
    /// Returns true when a job has waited too long with nothing running, given how empty its pool is.
    [[nodiscard]] bool is_starving(const open_job& job, const std::string& pool, time_point now) const;
    void save_pressure(time_point now);
    void report_load(time_point now);
    void begin_due_occurrences(time_point now, std::int64_t wall_ms);
    void forget_old_jobs(time_point now);

    // runs
    run_track& add_track(const run_key& key, std::shared_ptr<const step_job> job, const worker_life& worker,
                         run_stage stage, isolation_level isolation, time_point now);
    void drop_track(const run_key& key, time_point now);
    run_track* find(const run_key& key);
    void propose_end(run_track& track, run_end end, const end_evidence& evidence, time_point now,
                     const std::string& saved = {}, const run_loss& loss = {});
    void send_start(run_track& track, time_point now);
    void send_stop(run_track& track, time_point now);
    void stop_run(run_track& track, time_point now);
    void send_due_order(run_track& track, time_point now);
    /// Sends starts and stops again whose time has come.
    void send_scheduled_orders(time_point now);
    /// Lets a start or stop that could not be sent, or had no answer, be sent at `track.next_order`.
    void schedule_order(const run_track& track);
    /// Lets the task of a run that has not started go elsewhere.
    void return_to_queue(run_track& track, time_point now);
    void on_start_refused(run_track& track, order_failure failure, time_point now);
    /// Lets orders flow again to a worker that has answered something.
    void release_orders(worker_state& worker, time_point now);
    void handle_order_answer(run_track& track, const order_answer& answer, time_point now);

    // workers
    worker_state* find_worker(const worker_life& life) { return m_workers.find(life); }
    /// Asks for the worker's list at `when`, if not before.
    void schedule_hold(worker_state& worker, time_point when);
    /// Returns when the worker is to be looked at again at the latest.
    [[nodiscard]] time_point get_next_check(const worker_state& worker, time_point now) const;
    void add_load(worker_state& worker, run_track& track, int sign);
    /// Takes until when a worker's last heartbeat tells its room.
    void update_room_expiry(worker_state& worker) const;
    /// Takes a worker's clock from a heartbeat, which may be late.
    void update_clock(worker_state& worker, std::int64_t clock_ms, time_point now) const;
    void send_hold(worker_state& worker, time_point now);
    /// Returns how long a worker may wait with its list.
    [[nodiscard]] duration get_hold_wait(const worker_state& worker) const;
    [[nodiscard]] bool needs_hold(const worker_state& worker) const;
    void process_list(worker_state& worker, const hold_answer& answer, time_point now);
    void process_end(worker_state& worker, const end_row& row, time_point now);
    /// Ends runs that the worker lacks in its list. Precondition: `listed` is sorted.
    void end_missing_runs(worker_state& worker, const std::vector<run_key>& listed, time_point now);
    void stop_stray_run(worker_state& worker, const run_key& key);
    void grant_lease(worker_state& worker, time_point now);
    /// Takes that something may count at the worker as long as it grants anything at all.
    void grant_longest_lease(worker_state& worker, time_point now);
    /// Returns how long after it was sent a lease may count at its worker, by this clock.
    [[nodiscard]] duration get_lease_span(duration lease) const;
    /// Returns until when a run may be there whose worker is out of reach.
    [[nodiscard]] time_point get_lease_end(const run_track& track) const;
    void on_worker_lost(worker_state& worker, end_reason reason, time_point now);
    static void add_loss(log_event& line, const run_track& track, time_point now);
    void evacuate(worker_state& worker, time_point now);
    void check_workers(time_point now);
    /// Returns true when the worker is to be forgotten.
    [[nodiscard]] bool may_forget(const worker_state& worker, time_point now) const;
    void check_worker(worker_state& worker, time_point now);
    void update_acknowledged(worker_state& worker);
    [[nodiscard]] order_target make_target(const worker_state& worker, duration timeout) const;

    // lives of workers
    /// Returns what is known of a life, a new state where it is not known.
    worker_state& get_or_add_worker(const worker_life& life, time_point now);
    /// Returns true when a message of this life is late: it is known to have ended.
    [[nodiscard]] bool is_stale(const worker_life& life) const;
    /// Returns the fence that no order carried yet, but for those since the last raise.
    [[nodiscard]] std::uint64_t get_fence() const { return m_term + m_book.get_fence_raises(); }
    void raise_fence(worker_state& worker);
    void on_fence_raised(time_point now);
    /// Takes a list that came from another life than the one that was asked.
    void on_other_life(worker_state& addressed, const worker_life& answered, const hold_answer& answer,
                       time_point now);
    /// Gives up all lives that were known before `asked` was, whose hold `worker` answered.
    void end_former_lives(worker_state& worker, const worker_state& addressed, const hold_answer& answer,
                          time_point now);
    /// Gives up a life: what runs at `heir`, the life after it, or may yet come there, is followed there.
    void end_former_life(worker_state& former, worker_state& successor, const requested_list& list,
                         time_point now);
    void mark_lost(worker_state& worker, const char* reason, time_point now);
    void move_run(run_track& track, worker_state& successor, const run_loss& loss, time_point now);
    void mark_run_lost(run_track& track, end_reason reason, const run_loss& loss, time_point now);
    /// Looks whether another life took an order: its clock counts anew.
    void check_clock_reset(worker_state& worker, std::int64_t clock_ms, time_point now);

    // tasks that crash their workers
    /// Returns how long the run was there at most when its worker ceased to answer; nothing while unknown.
    [[nodiscard]] static std::optional<duration> get_age_at_loss(const run_track& track, time_point now);
    /// Returns what the loss of its worker says of a run, if the worker crashed.
    [[nodiscard]] run_loss assess_loss(const run_track& track, time_point now) const;
    [[nodiscard]] crash_evidence compare_with_neighbours(const run_track& track,
                                                         std::optional<duration> age) const;
    /// Returns what is judged of all runs of a worker that have not ended.
    [[nodiscard]] std::vector<lapsed_run> assess_runs(const worker_state& worker, time_point now) const;
    void propose_crash(const lapsed_run& lapsed, const worker_life& worker);
    void on_task_crashed(const book_event& event, time_point now);
    void clear_suspects(worker_state& worker, time_point now);
    /// Opens the workers that are kept for suspects of a former leader's, but for as many as may be kept.
    void limit_probations();

    // tasks that stand still
    void find_stuck_tasks(const job_record& record, const step_key& key,
                          std::vector<stuck_task>& stuck) const;
    void audit(time_point now);

    // tasks that wait though there is room
    /// Returns the steps whose tasks have waited for long, some of them: those that last and the oldest
    /// first.
    [[nodiscard]] std::vector<step_key> rank_by_wait(time_point now) const;
    /// Looks at all workers of its pool for the first waiting task of a step.
    [[nodiscard]] long_wait explain_wait(const step_key& key, time_point now);
    void report_waits(time_point now);

    // advice
    [[nodiscard]] std::string find_ticket(const step_key& step, const worker_life& worker,
                                          time_point now) const;
    void request_advice(const std::vector<std::pair<std::int64_t, step_key>>& ranked, time_point now);
    std::vector<worker_life> pick_workers_to_advise(const ready_step& ready, const step_key& key,
                                                    time_point now);

    // pressure of filling tasks on serving ones
    void refresh_pressure(worker_state& worker);
    void smooth_fill_shares(worker_state& worker, time_point now);
    void observe_pressure(worker_state& worker, time_point now);
    [[nodiscard]] bool is_unsound(const worker_state& worker) const;
    void leave_unsound(worker_state& worker, time_point now);
    void plan_paces(worker_state& worker, time_point now);
    void slow_fills_for(const worker_state& worker, const run_track& serving,
                        const std::vector<run_track*>& fills);
    void order_pace(worker_state& worker, run_track& fill, time_point now);

    // placing
    void place(time_point now);
    /// Returns the shortest time between two passes over the waiting tasks.
    [[nodiscard]] duration get_pass_interval() const;
    [[nodiscard]] std::vector<std::pair<std::int64_t, step_key>> rank_ready(time_point now) const;
    [[nodiscard]] placing_pass begin_pass(time_point now);
    /// Places tasks of a step until one finds no room.
    void place_tasks(placing_pass& pass, ready_step& ready, const step_key& key);
    /// Places the first waiting task of a step that finds room; one of a job that starves also where there is
    /// less than it asks for.
    void place_starving(placing_pass& pass, ready_step& ready, const step_key& key);
    /// Places a waiting task.
    placement_result place_task(placing_pass& pass, ready_step& ready, const task_key& task, bool starves);
    /// Returns the waiting tasks of a step that are placed with this much care.
    [[nodiscard]] std::vector<std::uint32_t> find_waiting(const ready_step& ready, const step_key& key,
                                                          isolation_level isolation) const;
    /// Places these tasks one by one until one finds no room.
    void place_each(placing_pass& pass, ready_step& ready, const step_key& key,
                    const std::vector<std::uint32_t>& indexes);
    /// Places these tasks, which differ by their numbers alone.
    void place_identical(placing_pass& pass, ready_step& ready, const step_key& key,
                         const std::vector<std::uint32_t>& indexes);
    void place_gang(placing_pass& pass, ready_step& ready, const step_key& key);
    /// Returns how many members of a gang wait for workers of their own.
    [[nodiscard]] std::size_t count_own_workers(const ready_step& ready, const step_key& key, time_point now);
    void measure_short_demand(const placing_pass& pass);
    [[nodiscard]] bool may_open(const worker_state& worker) const;
    [[nodiscard]] placement_request make_request(const ready_step& ready, const task_key& key,
                                                 time_point now);
    worker_state* choose(const placing_pass& pass, const ready_step& ready, const placement_request& request);
    /// Returns what keeps a task from a worker beside what it asks of one; `none` where nothing does.
    [[nodiscard]] placement_obstacle find_policy_obstacle(const worker_state& worker, const ready_step& ready,
                                                          const placement_request& request,
                                                          time_point now) const;
    void claim(const ready_step& ready, const task_key& key, worker_state& worker, isolation_level isolation,
               time_point now);
    /// Returns true when a second run of the task may be started and would probably end first.
    [[nodiscard]] bool may_copy(const run_track& track, time_point now) const;
    void start_copies(time_point now);
    void start_copy(const placing_pass& pass, const run_track& slow);
    void propose_assignment(const run_key& key, const worker_state& worker);

    dispatch_settings m_settings;
    const job_book& m_book;
    log_term m_term = 0;
    worker_table m_workers;
    std::set<worker_life>
        m_lost_workers; ///< lives that are known to have ended; late heartbeats of theirs are ignored
    bool m_is_raising_fence = false; ///< a raise is on its way into the log
    absl::node_hash_map<run_key, run_track> m_tracks;
    absl::node_hash_map<job_id, open_job> m_jobs;
    std::map<step_key, ready_step> m_ready;
    std::map<task_key, std::vector<worker_life>> m_failed_on; ///< where a task failed
    suspect_watch m_suspects;
    std::map<step_key, step_advice> m_advice;
    bool m_is_advising = false; ///< a call to the advice service is under way
    time_point m_next_advice{};
    std::multimap<std::int64_t, step_key> m_due; ///< wall time -> job and occurrence (step 0)
    std::multimap<time_point, job_id> m_ended;   ///< when ended jobs are forgotten
    std::priority_queue<scheduled_order, std::vector<scheduled_order>, std::greater<>> m_scheduled_orders;
    std::vector<worker_order> m_orders;
    std::vector<job_wire::job_command> m_commands;
    std::vector<job_timing> m_timings;
    dispatch_counts m_counts;
    pressure_model m_pressure;
    work_forecast m_forecast;
    lasting_quota m_lasting;
    leader_load m_load;
    std::set<std::string> m_underused_pools; ///< pools less than half of which is reserved
    double m_filling_backlog =
        0; ///< cores of filling tasks that wait, as a share of those that run, 0 to 1; smoothed
    bool m_must_place = false;
    double m_short_millicores = 0;      ///< millicores that tasks which neither serve nor fill want, smoothed
    std::int64_t m_open_millicores = 0; ///< millicores of the usable workers on which nothing serves
    std::int64_t m_total_millicores = 0; ///< millicores of the usable workers
    time_point m_measured_at{};
    time_point m_last_place{};
    time_point m_next_place{};
    time_point m_next_check{};  ///< when all workers and runs are looked at again
    time_point m_next_copies{}; ///< when slow runs are looked for again
    time_point m_next_pools{};  ///< when the use of pools is looked at again
    time_point m_next_report{};
    time_point m_next_audit{};
    time_point m_next_waits{}; ///< when long waits are told again
    time_point m_next_pressure_save{};
};

} // namespace poplarpitch
