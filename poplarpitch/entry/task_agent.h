#pragma once

#include "poplarpitch/entry/announcement.h"
#include "poplarpitch/entry/owned_fleet.h"
#include "poplarpitch/entry/task_action.h"
#include "poplarpitch/entry/task_agent_settings.h"
#include "poplarpitch/policy/eviction_budget.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Manages the tasks on owned workers. Starts the tasks that control assigned, adopts those that an earlier
/// owner started, stops cancelled ones, evicts tasks under pressure, and converts reports of workers into
/// events for the log. It does no I/O: calls and events are returned as values. Every event names the
/// attempt, so a late event has no effect. Thread safety: none, for all methods; `entry_state` guards it.
class task_agent {
public:
    /// Precondition: `fleet` outlives the agent.
    explicit task_agent(owned_fleet& fleet, const task_agent_settings& settings = {});

    /// Applies the jobs of a renewal's answer. With `owned_changed` its job ids are all jobs on owned
    /// workers, and tasks of other jobs are dropped.
    void apply_jobs(const wire::renew_answer& answer, time_point now);
    /// Returns the calls to workers that are due. Also updates the relief of workers for `now`.
    std::vector<task_action> get_actions(time_point now);
    /// Returns the events for the log that are due: refused and lost tasks, and marks of workers that are
    /// silent, which they are after `silence` without an announcement, or that are heard again. Events stay
    /// due until control confirms them, marks until its record of the worker agrees.
    std::vector<wire::command> get_events(time_point now, duration silence, std::int64_t wall_ms);
    /// Processes the worker's answer to a start. Returns the events for the log.
    std::vector<wire::command> on_start_answered(const task_action& action, start_result answer,
                                                 time_point now, std::int64_t wall_ms);
    /// Called when the worker has executed a stop, or has confirmed that it will not execute a start of that
    /// attempt.
    void on_stop_answered(const task_action& action);
    /// An event for the log, with the number of the worker's report that it stems from, or 0.
    struct reported_event {
        std::uint64_t report = 0;
        wire::command command;
    };
    /// Processes a worker's announcement after the fleet has processed it. Returns the events for the log.
    std::vector<reported_event> on_announced(const announcement& message, time_point now,
                                             std::int64_t wall_ms);
    /// Called when control has committed an event of a job or has found it stale.
    void on_event_committed(const std::string& worker, const wire::job_event& event);
    /// Removes and returns the usage samples of finished tasks, to be sent to control.
    std::vector<wire::usage_sample> take_usage();
    /// Puts back samples that did not reach control.
    void return_usage(const std::vector<wire::usage_sample>& samples);
    /// Returns true when the leases of the worker's tasks may be renewed: not while the worker is silent, and
    /// not while control may still count one of its tasks as lost and wait for its lease to end.
    [[nodiscard]] bool may_renew_leases(const owned_worker& worker) const;
    /// Returns true when only a complete list from the worker can determine the outcome of one of its tasks.
    [[nodiscard]] static bool needs_complete_list(const owned_worker& worker);
    /// Marks a silent worker as heard again. The worker must announce its tasks again before they are
    /// renewed.
    void end_silence(owned_worker& worker, time_point now);
    /// Returns the number of evictions begun since the start of the process.
    [[nodiscard]] std::uint64_t get_eviction_count() const { return m_evictions; }

private:
    void apply_job(owned_worker& worker, const wire::job& job, time_point now);
    void relieve(owned_worker& worker, time_point now);
    /// Returns true when control's record of whether the worker is silent has to be corrected.
    [[nodiscard]] bool is_mark_due(const owned_worker& worker, time_point now) const;
    /// Moves a task to `withdrawing` when its start was refused but an earlier start may still be executed.
    static void withdraw(owned_task& task);
    void check_unlisted_tasks(owned_worker& worker, const announcement& message, time_point now,
                              std::int64_t wall_ms, std::vector<reported_event>& events);
    [[nodiscard]] static wire::command make_event(const owned_task& task, const std::string& worker,
                                                  wire::job_event_kind kind, const std::string& detail,
                                                  std::int64_t wall_ms);
    /// Returns the event for a task whose start the worker refused.
    [[nodiscard]] static wire::command make_refused_event(const owned_task& task, const std::string& worker,
                                                          std::int64_t wall_ms);
    /// Returns the event for a task whose worker process has ended.
    [[nodiscard]] static wire::command make_crash_event(const owned_task& task, const std::string& worker,
                                                        std::int64_t wall_ms);
    double get_latency_growth(owned_worker& worker, const owned_task& task);

    owned_fleet& m_fleet;
    const task_agent_settings m_settings;
    eviction_budget m_budget;
    std::vector<task_action> m_orphan_stops; ///< stop calls for runs that the log has superseded
    std::vector<wire::usage_sample> m_usage;
    std::uint64_t m_evictions = 0;
};

} // namespace poplarpitch
