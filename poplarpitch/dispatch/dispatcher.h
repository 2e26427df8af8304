#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/admission.h"
#include "poplarpitch/dispatch/admission_policy.h"
#include "poplarpitch/dispatch/attempt_history.h"
#include "poplarpitch/dispatch/completion_forecast.h"
#include "poplarpitch/dispatch/demand_levels.h"
#include "poplarpitch/dispatch/dispatch_counts.h"
#include "poplarpitch/dispatch/fair_share.h"
#include "poplarpitch/dispatch/first_hold_pacer.h"
#include "poplarpitch/dispatch/job_activity.h"
#include "poplarpitch/dispatch/leader_difference.h"
#include "poplarpitch/dispatch/leader_load.h"
#include "poplarpitch/dispatch/learned_state.h"
#include "poplarpitch/dispatch/long_running_quota.h"
#include "poplarpitch/dispatch/long_wait.h"
#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/dispatch/refused_shapes.h"
#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/step_advice.h"
#include "poplarpitch/dispatch/still_job.h"
#include "poplarpitch/dispatch/stuck_task.h"
#include "poplarpitch/dispatch/suspect_watch.h"
#include "poplarpitch/dispatch/work_forecast.h"
#include "poplarpitch/dispatch/worker_state.h"
#include "poplarpitch/dispatch/worker_table.h"
#include "poplarpitch/scheduling/advice_outcome.h"
#include "poplarpitch/scheduling/dispatch_settings.h"
#include "poplarpitch/scheduling/job_state_event.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/scheduling/job_timing.h"
#include "poplarpitch/scheduling/worker_order.h"

#include <absl/container/node_hash_map.h>

#include <deque>
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

/// Decides for the leader which task runs on which worker, and tracks every run until it has ended.
///
/// The class sends and stores nothing itself. Its inputs are heartbeats, answers, committed events and time,
/// its outputs are orders and commands for the log, so a test can inject any fault between any two steps.
/// Safety rests on four rules. (1) An assignment is committed before its start is sent. (2) A start without
/// an answer is retried, which is idempotent, or undone by a stop that the worker answered. (3) A run counts
/// as ended when its worker lists the end, when a list that was requested after the start was confirmed lacks
/// the run, when the worker is known to be gone, or when its lease has certainly expired. (4) A new leader
/// raises the fence at each worker and takes its list before it assigns anything to it. Thread safety: none,
/// as for all methods.
class dispatcher {
public:
    /// Precondition: `job_state` outlives the dispatcher.
    dispatcher(const dispatch_settings& settings, const job_state_machine& job_state);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Starts to lead in `term`. Workers are learned from their heartbeats, runs from the replicated job
    /// state.
    void start_leading(log_term term, time_point now, std::int64_t wall_ms);
    /// Stops leading and clears all state that is not replicated.
    void stop_leading();
    [[nodiscard]] bool is_leading() const { return m_term != 0; }
    /// Returns the term in which it leads, or 0 while it does not lead.
    [[nodiscard]] log_term get_term() const { return m_term; }

    /// Updates the load of the leader's thread. Under strain, checks that only adjust paces become rarer.
    /// When the leader lags too far behind, it accepts no new jobs.
    void on_load(const leader_load& load) { m_load = load; }
    /// Decides whether a job is accepted. An accepted job counts as such until `cancel_admission` is called
    /// for it. Precondition: the dispatcher leads; the job is valid and not known yet.
    [[nodiscard]] admission admit(const step_job& job, time_point now);
    /// Called when a job that `admit` accepted was certainly not committed.
    void cancel_admission(job_id job);

    /// Processes a heartbeat. Returns true when the worker is draining and its draining is not committed yet.
    /// The heartbeat must then be answered only after the commit.
    bool on_heartbeat(const worker_report& report, time_point now);
    /// Processes a heartbeat that only refers to an earlier report. Returns false when that report is not the
    /// one known here; a full heartbeat is then required.
    bool on_unchanged_report(const unchanged_report& report, time_point now);
    /// Called when a worker deregisters.
    void on_deregister(const worker_incarnation& worker, time_point now);
    /// Returns true when a worker of this data centre has reported or the data centre is drained, and false
    /// when neither is so. Right after an election, workers that exist may not have reported yet.
    [[nodiscard]] bool is_data_centre_known(const std::string& data_centre) const;
    /// Returns true when every live worker has had the time to report to this leader.
    [[nodiscard]] bool have_workers_reported(time_point now) const;
    /// Processes the answer to a hold that was sent to `worker`. Another incarnation of it may have answered.
    void on_hold(const worker_incarnation& worker, const order_outcome& outcome, time_point now);
    /// Processes the answer to a start.
    void on_start(const run_key& key, const order_answer& answer, time_point now);
    /// Processes the answer to a stop of a run, including a run that is not in the replicated job state.
    void on_stop(const run_key& key, const worker_incarnation& worker, const order_answer& answer,
                 time_point now);
    /// Processes the answer to a pace order.
    void on_pace(const run_key& key, int percent, const order_answer& answer, time_point now);
    /// Processes the answer of the advice service.
    void on_advice(const advice_request& request, const advice_outcome& outcome, time_point now);
    /// Processes the effects of a committed command.
    void on_event(const job_state_event& event, time_point now, std::int64_t wall_ms);
    /// Performs everything that is due: leases, retries, occurrences, placement. Nothing is placed while
    /// `can_commit` is false, since an assignment would only wait for the batch before it.
    void tick(time_point now, std::int64_t wall_ms, bool can_commit = true);

    /// Returns and removes the orders to send.
    [[nodiscard]] std::vector<worker_order> take_orders();
    /// Returns and removes the commands to commit.
    [[nodiscard]] std::vector<job_wire::job_command> take_commands();

    /// Returns and removes the measured durations.
    [[nodiscard]] std::vector<job_timing> take_timings();
    /// Returns how many tasks are queued for a worker.
    [[nodiscard]] std::uint64_t count_waiting_tasks() const;
    /// Returns how many accepted jobs have not ended.
    [[nodiscard]] std::size_t count_open_jobs() const { return m_jobs.size(); }
    /// Returns the time in which the work that waits is done by the forecast; zero while none waits and with
    /// `refuse_late` off.
    [[nodiscard]] duration get_backlog_time() const { return m_completion.get_backlog_time(); }
    /// Returns how many accepted jobs of a queue have not started any task.
    [[nodiscard]] std::uint64_t count_pending_jobs(const std::string& queue) const;
    /// Returns true when a task of the job has started.
    [[nodiscard]] bool has_started(job_id id) const;
    [[nodiscard]] const std::map<worker_incarnation, worker_state>& get_workers() const {
        return m_workers.get_map();
    }
    [[nodiscard]] const dispatch_counts& get_counts() const { return m_counts; }
    /// Returns the use of scarce room by queues and data centres of callers. It is empty unless room is
    /// shared.
    [[nodiscard]] const fair_share& get_shares() const { return m_shares; }
    /// Returns how many tasks are suspected of having crashed a worker.
    [[nodiscard]] std::size_t count_suspects() const { return m_suspects.get_size(); }
    /// Returns the state of a worker, or null.
    [[nodiscard]] const worker_state* find_worker_state(const worker_incarnation& incarnation) const {
        return m_workers.find(incarnation);
    }
    /// Returns the tasks of open jobs that nothing will complete, in order. There are none unless the leader
    /// has a fault.
    [[nodiscard]] std::vector<stuck_task> find_stuck(time_point now) const;
    /// Returns what else of the leader's state is wrong, in order. There is nothing unless the leader has a
    /// fault.
    [[nodiscard]] std::vector<leader_difference> find_differences(time_point now) const;
    /// Returns some of the jobs of which no run is known to have been at work for long, although a task of
    /// them waits or counts as assigned: those in pools of which less than half is reserved and the longest
    /// first.
    [[nodiscard]] std::vector<still_job> find_still_jobs(time_point now) const;
    /// Returns some of the tasks that have waited for long although workers have room for them, long-running
    /// tasks and the oldest first.
    [[nodiscard]] std::vector<long_wait> find_long_waits(time_point now);
    /// Returns the track of a run, or null.
    [[nodiscard]] const run_track* find_track(const run_key& key) const;

private:
    /// What the leader knows of an open job.
    struct open_job {
        time_point accepted{};
        bool has_started = false;
        absl::btree_map<run_key, run_track*> runs; ///< assigned and not ended
        duration idle_time{};    ///< time in which nothing of it ran although tasks of it could, up to
                                 ///< `idle_since`
        time_point idle_since{}; ///< since when nothing of it runs; only meaningful while it has no runs
        std::map<std::uint32_t, time_point>
            due; ///< start time of each occurrence that has begun; empty for a job that runs once
    };
    /// The tasks of a step that wait for a worker.
    struct ready_step {
        std::shared_ptr<const step_job> job;
        std::set<std::uint32_t> waiting;
        time_point since{};            ///< since when the first of them has not run
        std::int64_t objective_ms = 0; ///< the job's objective
        std::int64_t remaining_ms = 0; ///< forecast for this step and those that follow it

        /// Returns what the waiting tasks request, in millicores.
        [[nodiscard]] std::int64_t get_wanted(const step_key& key) const {
            return job->steps[key.step].millicores * static_cast<std::int64_t>(waiting.size());
        }
    };
    /// Room for the runs that one check moves away from slow workers.
    struct move_plan {
        std::map<std::string, std::vector<worker_state*>> targets; ///< by pool; the last one found is first
        std::map<const worker_state*, worker_amounts> planned;     ///< reservations of the planned runs
        std::map<const worker_state*, std::int64_t> filling;       ///< millicores of the planned filling runs
        std::set<step_key> refused;                                ///< steps without room
        std::uint64_t searches_left = 0;
    };
    /// State of one pass over the waiting tasks.
    struct placing_pass {
        time_point now{};
        std::map<std::string, std::vector<worker_state*>> usable; ///< workers by pool
        std::map<std::string, std::vector<worker_state*>>
            set_aside; ///< workers by pool that only overdue tasks may use
        refused_shapes refused;
        std::size_t probations_left = 0; ///< workers that may still be reserved for a suspect
    };
    /// Result of an attempt to place a task.
    enum class placement_result : std::uint8_t {
        placed,
        deferred,        ///< the task waits for a condition that concerns only itself; others may be placed
        no_trusted_room, ///< the other last attempts of its step are blocked too
        no_room,         ///< the tasks behind it are blocked too
    };
    /// A worker with room for a task. The one with the least cost is best, and the first of those with equal
    /// cost.
    struct candidate {
        double cost = 0;
        std::size_t position = 0; ///< index in the order of workers
        worker_state* worker = nullptr;

        friend auto operator<=>(const candidate& left, const candidate& right) {
            return std::tie(left.cost, left.position) <=> std::tie(right.cost, right.position);
        }
    };

    /// The runs that a worker listed, in order, and when the list was requested. The list may be older than
    /// answers that arrived before it.
    struct requested_list {
        std::vector<run_key> runs;
        time_point requested_at{};
    };

    /// A start or stop that is due at a given time.
    struct scheduled_order {
        time_point when{};
        run_key run;

        friend auto operator<=>(const scheduled_order&, const scheduled_order&) = default;
    };

    // jobs
    void open(const job_record& record, time_point accepted, time_point now, std::int64_t wall_ms);
    void adopt_worker(const assigned_run& run, time_point now);
    /// Adds the tasks that may have crashed workers, according to the replicated job state.
    void restore_suspects(const job_record& record, time_point now);
    void begin_occurrence(const job_record& record, std::uint32_t occurrence, time_point now);
    void make_step_ready(const job_record& record, const step_key& key, time_point now);
    /// `since`: since when the task has not run; relevant for a long-running one.
    void make_task_ready(const task_key& key, time_point since);
    void close(job_id id, time_point now);
    void record_first_start(job_id id, time_point now);
    void record_job_end(job_id id, time_point now);
    void on_run_ended(const job_state_event& event, time_point now);
    /// Adds the duration of an ending run to the forecast.
    void record_run_time(const run_track& track, run_end end, time_point now);
    /// Adds the work of a task that is done to the drain rate.
    void record_drain(const task_key& task);
    void break_gang(const run_key& ended, time_point now);
    /// Updates the quota with the use of the pools.
    void observe_pools(time_point now);
    void measure_filling_backlog();
    /// Updates the forecast with what the open jobs still need.
    void update_forecast(time_point now);
    /// Decides by the forecast whether a job that ends is accepted.
    void admit_by_forecast(admission& decided, const step_job& job, time_point now);
    /// Returns what an open job that runs once still needs.
    [[nodiscard]] job_work get_remaining_work(const open_job& job, const job_record& record,
                                              time_point now) const;
    /// Returns when a run of a job is last known to have worked: when the last one ended, or when a list last
    /// showed one that has not ended.
    [[nodiscard]] static time_point get_last_work(const open_job& job);
    /// Returns since when nothing of a job runs as far as known, or `now` while something does.
    [[nodiscard]] static time_point get_idle_since(const open_job& job, time_point now);
    /// Returns true when nothing of a job runs although little of its pool is reserved, and it has been idle
    /// for too long in all.
    [[nodiscard]] bool is_starving(const open_job& job, const std::string& pool, time_point now) const;
    void save_pressure(time_point now);
    /// Records what was learned for the next leader.
    void save_learned(time_point now, std::int64_t wall_ms);
    /// Starts with what the former leader has recorded.
    void restore_learned(time_point now, std::int64_t wall_ms);
    void report_load(time_point now);
    void begin_due_occurrences(time_point now, std::int64_t wall_ms);
    void forget_old_jobs(time_point now);

    // runs
    run_track& add_track(const run_key& key, std::shared_ptr<const step_job> job,
                         const worker_incarnation& worker, run_stage stage, isolation_level isolation,
                         time_point now);
    /// Removes an ended run. `worked_until`: when it is last known to have run; the default if it never did.
    void drop_track(const run_key& key, time_point worked_until = {});
    run_track* find(const run_key& key);
    void propose_end(run_track& track, run_end end, const end_evidence& evidence, time_point now,
                     const std::string& checkpoint = {}, const run_loss& loss = {});
    /// Returns true when the end of this run as failed is to count as an attempt.
    [[nodiscard]] bool claim_attempt(const run_track& track);
    void send_start(run_track& track, time_point now);
    void send_stop(run_track& track, time_point now);
    void stop_run(run_track& track, time_point now);
    void send_due_order(run_track& track, time_point now);
    /// Sends the starts and stops that are due.
    void send_scheduled_orders(time_point now);
    /// Schedules a start or stop that could not be sent or got no answer for `track.next_order`.
    void schedule_order(const run_track& track);
    /// Records that the last start of a run may be executed although it has no answer.
    void expect_late_start(run_track& track) const;
    /// Allows the task of a run that has not started to be placed elsewhere.
    void return_to_queue(run_track& track, time_point now);
    void on_start_refused(run_track& track, order_failure failure, time_point now);
    /// Ends the backoff of a worker that has answered and releases the orders that waited for it.
    void retry_delayed_orders(worker_state& worker, time_point now);
    void handle_order_answer(run_track& track, const order_answer& answer, time_point now);

    // workers
    worker_state* find_worker(const worker_incarnation& incarnation) { return m_workers.find(incarnation); }
    /// Schedules the next hold for `when`, if it is not due earlier.
    void schedule_hold(worker_state& worker, time_point when);
    /// Returns the latest time of the worker's next check.
    [[nodiscard]] time_point get_next_check(const worker_state& worker, time_point now) const;
    /// Adds a run to the worker's runs and amounts, or removes it with `sign` -1.
    void count_run(worker_state& worker, run_track& track, int sign);
    /// Updates whether an operator has drained the worker's data centre.
    void update_drained(worker_state& worker) const;
    void on_data_centres_changed();
    /// Updates the time until which the worker's reported room is considered valid.
    void update_room_expiry(worker_state& worker) const;
    /// Updates a worker's clock from a heartbeat, which may be late.
    void update_clock(worker_state& worker, std::int64_t clock_ms, time_point now) const;
    /// Returns the pause after an unanswered or refused hold.
    [[nodiscard]] duration get_hold_backoff(const worker_state& worker, order_failure failure,
                                            time_point now) const;
    void send_hold(worker_state& worker, time_point now);
    /// Returns how long a worker may delay its answer to a hold.
    [[nodiscard]] duration get_hold_wait(const worker_state& worker) const;
    [[nodiscard]] bool needs_hold(const worker_state& worker) const;
    /// Returns false when the list has ends that must not be processed yet.
    bool process_run_list(worker_state& worker, const hold_answer& answer, time_point now);
    /// Records for later leaders that no start of the run can reach a later incarnation of its worker.
    void propose_confirmation(run_track& track);
    /// Processes the listed ends in order. Returns false when it stopped at one that must not be processed
    /// yet.
    bool process_ends(worker_state& worker, const hold_answer& answer, time_point now);
    void process_end(worker_state& worker, const run_end_entry& row, time_point now);
    /// Ends runs that are missing from the worker's list. Precondition: `listed` is sorted.
    void end_missing_runs(worker_state& worker, const std::vector<run_key>& listed, time_point now);
    void stop_stray_run(worker_state& worker, const run_key& key);
    /// Extends the worker's lease by the full length from now. Returns its end by the worker's clock.
    /// Precondition: that clock is known.
    std::int64_t extend_lease(worker_state& worker, time_point now);
    /// Returns the end of the lease for a start that is sent now, by the worker's clock, or nothing while no
    /// start may be sent. Precondition: that clock is known.
    [[nodiscard]] std::optional<std::int64_t> get_lease_for_start(worker_state& worker, time_point now);
    /// Records that an order with a lease leaves now.
    void record_lease_sent(worker_state& worker, time_point now);
    /// Assumes that the worker may have been granted a lease of this length just now.
    void assume_lease(worker_state& worker, duration lease, time_point now) const;
    /// Returns how long a lease may be valid at its worker after it was sent, by this leader's clock.
    [[nodiscard]] duration get_lease_span(duration lease) const;
    /// Returns the time until which a run may exist on an unreachable worker.
    [[nodiscard]] time_point get_lease_end(const run_track& track) const;
    void on_worker_lost(worker_state& worker, end_reason reason, time_point now);
    void evacuate(worker_state& worker, time_point now);
    void check_workers(time_point now);
    /// Returns true when the worker's state may be removed.
    [[nodiscard]] bool may_forget(const worker_state& worker, time_point now) const;
    void check_worker(worker_state& worker, time_point now);
    void update_acknowledged(worker_state& worker);
    [[nodiscard]] order_target make_target(const worker_state& worker, duration timeout) const;

    // incarnations of workers
    /// Returns the state of an incarnation. Adds one if it is not known.
    worker_state& get_or_add_worker(const worker_incarnation& incarnation, time_point now);
    /// Returns true when a message of this incarnation is late, since it is known to have ended.
    [[nodiscard]] bool is_stale(const worker_incarnation& incarnation) const;
    /// Returns a fence that only orders since the last raise have carried.
    [[nodiscard]] std::uint64_t get_fence() const { return m_term + m_job_state.get_fence_raises(); }
    void raise_fence(worker_state& worker, time_point now);
    void propose_fence_raise(time_point now);
    void on_fence_raised(time_point now);
    /// Processes a list from another incarnation than the addressed one.
    void on_other_incarnation(worker_state& addressed, const worker_incarnation& answered,
                              const hold_answer& answer, time_point now);
    /// Ends all other incarnations that were known before the hold to `addressed` was sent, which `worker`
    /// answered.
    void end_former_incarnations(worker_state& worker, const worker_state& addressed,
                                 const hold_answer& answer, time_point now);
    /// Ends an incarnation. Runs that are on `successor`, the next incarnation, or may still start there,
    /// move there.
    void end_former_incarnation(worker_state& former, worker_state& successor, const requested_list& list,
                                time_point now);
    void mark_lost(worker_state& worker, const char* reason, time_point now);
    void move_run(run_track& track, worker_state& successor, const run_loss& loss, time_point now);
    void mark_run_lost(run_track& track, end_reason reason, const run_loss& loss, time_point now);
    /// Detects by a clock that restarted that another incarnation received the order sent at `sent`.
    void check_clock_reset(worker_state& worker, std::int64_t clock_ms, time_point sent, time_point now);

    // tasks that crash their workers
    /// Returns what the loss of its worker says about a run, if the worker crashed.
    [[nodiscard]] run_loss assess_loss(const run_track& track, time_point now) const;
    [[nodiscard]] crash_evidence compare_with_neighbours(const run_track& track,
                                                         std::optional<duration> age) const;
    /// Returns the assessment of all runs of a worker that have not ended.
    [[nodiscard]] std::vector<lapsed_run> assess_crash_evidence(const worker_state& worker,
                                                                time_point now) const;
    void propose_crash_record(const lapsed_run& lapsed, const worker_incarnation& worker);
    void on_task_crashed(const job_state_event& event, time_point now);
    void clear_suspects(worker_state& worker, time_point now);
    /// Releases workers that are reserved for suspects by a former leader, except as many as may be reserved.
    void limit_probations();

    // tasks that make no progress
    /// Compares the tasks of a step that may begin with the replicated job state.
    void find_stuck_tasks(const open_job& job, const job_record& record, const step_key& key,
                          std::vector<stuck_task>& stuck) const;
    void find_stuck_tasks_of_job(const open_job& job, const job_record& record,
                                 std::vector<stuck_task>& stuck) const;
    /// Mends what the replicated job state proves. Returns false where it proves nothing.
    bool mend(const stuck_task& stuck, time_point now, std::int64_t wall_ms);
    /// Precondition: the task is queued.
    void remove_from_queue(const task_key& task);
    void audit(time_point now, std::int64_t wall_ms);
    /// Returns what the tracked runs of each worker reserve, by the worker's position.
    [[nodiscard]] std::vector<worker_amounts> sum_reserved() const;
    void audit_workers(time_point now);
    /// Mends a difference where that is safe. Returns false where it is not.
    bool mend(const leader_difference& difference, time_point now);
    /// Counts the runs of a worker and what they reserve anew.
    void recount_runs(worker_state& worker);

    // tasks that wait although there is room
    /// Returns some of the steps whose tasks have waited for long, long-running ones and the oldest first.
    [[nodiscard]] std::vector<step_key> rank_by_wait(time_point now) const;
    /// Examines all workers of its pool for the first waiting task of a step.
    [[nodiscard]] long_wait explain_wait(const step_key& key, time_point now);
    /// Returns since when no run of the job is known to have been at work although it has something to do, or
    /// a time that never comes if it has nothing to do.
    [[nodiscard]] time_point get_still_since(job_id id, const open_job& job) const;
    [[nodiscard]] std::uint64_t count_waiting_tasks(job_id id) const;
    [[nodiscard]] job_activity examine_job(job_id id, const std::string& pool, time_point now) const;
    void report_still_jobs(time_point now);
    void report_waits(time_point now);

    // advice
    [[nodiscard]] std::string find_ticket(const step_key& step, const worker_incarnation& worker,
                                          time_point now) const;
    void request_advice(const std::vector<std::pair<std::int64_t, step_key>>& ranked, time_point now);
    std::vector<worker_incarnation> pick_workers_to_ask_about(const ready_step& ready, const step_key& key,
                                                              time_point now);

    // workers that are slow compared with their pool
    /// Returns how long the run is forecast to take in all, in seconds.
    [[nodiscard]] double get_expected_s(const run_track& track) const;
    /// Adds the progress of a run that was listed, or has ended as done, to its worker's speed.
    void observe_progress(run_track& track, std::int64_t percent, bool has_ended, time_point now);
    /// Finds slow workers and moves tasks away from them.
    void check_speeds(time_point now);
    void leave_slow(const std::vector<worker_state*>& slow, time_point now);
    /// Returns true when a sound worker has room for a run besides what is planned there, and plans for it.
    bool plan_move(const run_track& track, move_plan& plan, time_point now);
    /// Returns true when the run's worker is slow and the run would end sooner elsewhere.
    [[nodiscard]] bool should_leave(const run_track& track) const;

    // interference of filling tasks with serving ones
    void refresh_pressure(worker_state& worker);
    void smooth_fill_shares(worker_state& worker, time_point now);
    void observe_pressure(worker_state& worker, time_point now);
    [[nodiscard]] bool is_unsound(const worker_state& worker) const;
    void leave_unsound(worker_state& worker, time_point now);
    void plan_paces(worker_state& worker, time_point now);
    void slow_fills_for(const worker_state& worker, const run_track& serving,
                        const std::vector<run_track*>& filling_tracks);
    void order_pace(worker_state& worker, run_track& fill, time_point now);

    // placement
    void place(time_point now);
    [[nodiscard]] std::vector<std::pair<std::int64_t, step_key>> rank_ready(time_point now);
    [[nodiscard]] placing_pass begin_pass(time_point now);
    /// Places tasks of a step until one finds no room.
    void place_tasks(placing_pass& pass, ready_step& ready, const step_key& key);
    /// Places the first waiting task of a step that finds room. A filling task of a starving job accepts less
    /// room than it requests.
    void place_task_of_starving_job(placing_pass& pass, ready_step& ready, const step_key& key);
    /// Places a waiting task.
    placement_result place_task(placing_pass& pass, ready_step& ready, const task_key& task,
                                bool is_job_starving);
    /// Returns the waiting tasks of a step that have this isolation level.
    [[nodiscard]] std::vector<std::uint32_t> find_waiting(const ready_step& ready, const step_key& key,
                                                          isolation_level isolation) const;
    /// Places these tasks one by one until one finds no room.
    void place_each(placing_pass& pass, ready_step& ready, const step_key& key,
                    const std::vector<std::uint32_t>& indexes);
    /// Places these tasks, which differ only by their index.
    void place_identical(placing_pass& pass, ready_step& ready, const step_key& key,
                         const std::vector<std::uint32_t>& indexes);
    void place_gang(placing_pass& pass, ready_step& ready, const step_key& key);
    /// Returns true when all members of a gang wait and none has to pause after a crash.
    [[nodiscard]] bool may_begin_gang(const ready_step& ready, const step_key& key, time_point now) const;
    /// Places all members of a gang in a rack, or anywhere when `rack` is empty. Returns false and places
    /// none when one finds no room.
    bool place_members(const placing_pass& pass, ready_step& ready, const step_key& key,
                       std::vector<placement_request>& requests, const std::string& rack);
    /// Returns the number of the next run, which all members of a gang share.
    [[nodiscard]] std::uint32_t get_next_gang_run(const ready_step& ready, const step_key& key) const;
    /// Returns the requests of all members of a gang, by index. Precondition: all of them wait.
    [[nodiscard]] std::vector<placement_request>
    make_gang_requests(const placing_pass& pass, const ready_step& ready, const step_key& key);
    /// Decides whether the last attempt of a gang may use a worker that has just failed.
    [[nodiscard]] bool may_use_doubtful_workers(const placing_pass& pass, const ready_step& ready,
                                                const placement_request& request) const;
    void measure_short_task_demand(const placing_pass& pass);
    /// Returns true when enough other workers without serving tasks remain for the short tasks.
    [[nodiscard]] bool may_take_first_serving_task(const worker_state& worker) const;
    /// Returns true when one more failure of the task fails its job.
    [[nodiscard]] bool is_last_attempt(const ready_step& ready, const task_key& key) const;
    [[nodiscard]] placement_request make_request(const ready_step& ready, const task_key& key,
                                                 time_point now);
    /// Lets the request of a task of a starving job accept a worse worker.
    static void accept_less(placement_request& request, const open_job& job, time_point now);
    worker_state* choose(const placing_pass& pass, const ready_step& ready, const placement_request& request);
    worker_state* choose_among(const std::map<std::string, std::vector<worker_state*>>& workers,
                               const ready_step& ready, const placement_request& request,
                               time_point now) const;
    /// Returns the obstacle that rules out a worker beyond the checks of `find_obstacle`, or `none`.
    [[nodiscard]] placement_obstacle find_policy_obstacle(const worker_state& worker, const ready_step& ready,
                                                          const placement_request& request,
                                                          time_point now) const;
    void assign_task(const ready_step& ready, const task_key& key, worker_state& worker,
                     isolation_level isolation, time_point now);
    /// Returns true when a second run of the task is allowed and would probably end first.
    [[nodiscard]] bool may_copy(const run_track& track, time_point now) const;
    void start_copies(time_point now);
    void start_copy(const placing_pass& pass, const run_track& slow);
    void propose_assignment(const run_key& key, const worker_state& worker);

    dispatch_settings m_settings;
    const job_state_machine& m_job_state;
    log_term m_term = 0;
    first_hold_pacer m_first_holds;
    worker_table m_workers;
    std::set<worker_incarnation>
        m_lost_workers; ///< incarnations that are known to have ended, whose late heartbeats are ignored
    bool m_is_raising_fence = false;     ///< a raise of the fence is being committed
    time_point m_fence_raise_proposed{}; ///< when it was proposed
    absl::node_hash_map<run_key, run_track> m_tracks;
    absl::node_hash_map<job_id, open_job> m_jobs;
    std::map<step_key, ready_step> m_ready;
    attempt_history m_attempts;
    suspect_watch m_suspects;
    std::map<step_key, step_advice> m_advice;
    bool m_is_advice_pending = false;  ///< a call to the advice service is in flight
    std::uint64_t m_advice_number = 0; ///< of the last call
    time_point m_advice_expires{};     ///< when the last call times out
    time_point m_next_advice{};
    std::multimap<std::int64_t, step_key> m_due; ///< wall time -> job and occurrence (step 0)
    std::multimap<time_point, job_id> m_ended;   ///< when ended jobs are forgotten
    std::deque<std::pair<time_point, refused_job>>
        m_refused; ///< when jobs that were cancelled before they were submitted are forgotten, in order
    std::priority_queue<scheduled_order, std::vector<scheduled_order>, std::greater<>> m_scheduled_orders;
    std::vector<worker_order> m_orders;
    std::vector<job_wire::job_command> m_commands;
    std::vector<job_timing> m_timings;
    dispatch_counts m_counts;
    pressure_model m_pressure;
    work_forecast m_forecast;
    long_running_quota m_long_running;
    completion_forecast m_completion;
    time_point m_next_work_refresh{}; ///< when the work of all open jobs is computed anew
    admission_policy m_admission{admission_policy_settings{}};
    fair_share m_shares;
    learned_state m_learned{learned_state_settings{}};
    leader_load m_load;
    std::set<std::string> m_drained_pools;   ///< pools of which every live worker is in a drained data centre
    std::set<std::string> m_underused_pools; ///< pools of which less than half is reserved
    demand_levels m_demand;
    bool m_must_place = false;
    std::int64_t m_non_serving_millicores = 0; ///< capacity of the usable workers without serving tasks
    std::int64_t m_total_millicores = 0;       ///< capacity of the usable workers
    time_point m_measured_at{};
    time_point m_last_place{};
    time_point m_next_place{};
    time_point m_next_check{};  ///< of all workers and runs that are due
    time_point m_next_copies{}; ///< of the search for slow runs
    time_point m_next_pools{};  ///< of the use of pools
    time_point m_next_report{};
    time_point m_next_audit{};
    time_point m_next_waits{}; ///< of the report of long waits
    time_point m_next_pressure_save{};
    worker_speed_settings m_speed_settings;
    time_point m_next_speeds{};    ///< of the check for slow workers
    time_point m_next_speed_log{}; ///< of the report on slow workers
    time_point m_speeds_since{};   ///< of the first check by this leader
};

} // namespace poplarpitch
