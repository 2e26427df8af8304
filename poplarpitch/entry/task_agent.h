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

/// The tasks on the workers that this entry owns: starts what control assigned, adopts what an earlier owner
/// started, stops what was cancelled, evicts under pressure, and turns what workers report into events for
/// the log. Pure: calls and events come back as values. Every event names the attempt, so one that is late
/// does nothing. Thread safety: none, as for all methods; `entry_state` guards it.
class task_agent {
public:
    /// Precondition: `fleet` outlives the agent.
    explicit task_agent(owned_fleet& fleet, const task_agent_settings& settings = {});

    /// Takes the jobs of a renewal; with `is_complete` the ids are all there are on owned workers.
    void apply_jobs(const wire::renew_answer& answer, time_point now);
    /// Returns the calls to workers that are due. `now` also drives the relief ladder.
    std::vector<task_action> get_actions(time_point now);
    /// Returns events for the log that are due: refusals, losses, marks. They stay due until control confirms
    /// them.
    std::vector<wire::command> get_events(time_point now, duration silence, std::int64_t wall_ms);
    /// Takes the worker's answer to a start; returns the event for the log.
    std::vector<wire::command> on_start_answered(const task_action& action, start_result answer,
                                                 time_point now, std::int64_t wall_ms);
    /// Takes that the worker has carried out a stop, or will carry out no start of that attempt.
    void on_stop_answered(const task_action& action);
    /// Takes what a worker told, after the fleet did; returns events, each with the number of its report or
    /// 0.
    struct reported_event {
        std::uint64_t report = 0;
        wire::command command;
    };
    std::vector<reported_event> on_announced(const announcement& message, time_point now,
                                             std::int64_t wall_ms);
    /// Takes control's answer to an event of a job: the present record, or that it is stale.
    void on_event_committed(const std::string& worker, const wire::job_event& event);
    /// Takes and returns what finished tasks used, for control.
    std::vector<wire::usage_sample> take_usage();
    /// Gives samples back that did not reach control.
    void return_usage(const std::vector<wire::usage_sample>& samples);
    /// Returns true when the worker's task leases may go on: not while it is silent, and not while control
    /// may still count one of its tasks as lost, whose lease is about to end.
    [[nodiscard]] bool may_renew_leases(const owned_worker& worker) const;
    /// Returns true when only the complete list of a worker can tell what became of one of its tasks.
    [[nodiscard]] static bool needs_complete_list(const owned_worker& worker);
    /// Takes a worker that was silent as heard again: what runs there must be told anew.
    void end_silence(owned_worker& worker, time_point now);
    /// Returns the evictions begun since start.
    [[nodiscard]] std::uint64_t get_eviction_count() const { return m_evictions; }

private:
    void apply_job(owned_worker& worker, const wire::job& job, time_point now);
    void relieve(owned_worker& worker, time_point now);
    /// Gives a task back that was refused although an earlier start may yet be carried out.
    static void withdraw(owned_task& task);
    void check_unlisted_tasks(owned_worker& worker, const announcement& message, time_point now,
                              std::int64_t wall_ms, std::vector<reported_event>& events);
    [[nodiscard]] static wire::command make_event(const owned_task& task, const std::string& worker,
                                                  wire::job_event_kind kind, const std::string& detail,
                                                  std::int64_t wall_ms);
    /// Returns the event of a task whose worker's process has ended.
    [[nodiscard]] static wire::command make_crash_event(const owned_task& task, const std::string& worker,
                                                        std::int64_t wall_ms);
    double get_latency_growth(owned_worker& worker, const owned_task& task);

    owned_fleet& m_fleet;
    const task_agent_settings m_settings;
    eviction_budget m_budget;
    std::vector<task_action> m_orphan_stops; ///< stops of tasks that nobody waits for
    std::vector<wire::usage_sample> m_usage;
    std::uint64_t m_evictions = 0;
};

} // namespace poplarpitch
