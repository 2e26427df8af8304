// Compares each second what the leader holds with the replicated job state. Each difference is a fault of the
// leader. It is logged, and mended where the replicated job state proves what is right.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration audit_interval = seconds{1};
constexpr duration list_timeout = seconds{3};    // lists arrive at least once a second
constexpr duration commit_timeout = seconds{10}; // a disk may stall for seconds
constexpr duration hold_slack =
    seconds{3}; // after the time of a hold, which may be sent twice with its whole time, 1.8 s
constexpr duration advice_slack =
    seconds{1};                       // after the time of a call; the leader's thread may lag by 400 ms
constexpr std::size_t max_lines = 20; // per audit and event; a single fault usually affects many tasks

/// Returns why a run makes no progress, or nothing.
std::optional<stuck_reason> find_stuck_reason(const run_track& track, time_point now) {
    if (track.is_ending) {
        const bool is_late = now - track.ending_since > commit_timeout;
        return is_late ? std::optional{stuck_reason::end_not_committed} : std::nullopt;
    }
    if (track.stage == run_stage::committing) {
        const bool is_late = now - track.assigned_at > commit_timeout;
        return is_late ? std::optional{stuck_reason::not_committed} : std::nullopt;
    }
    const bool has_lists_without =
        track.stage == run_stage::running && track.host->listed_at - track.listed_at > list_timeout;
    return has_lists_without ? std::optional{stuck_reason::not_listed} : std::nullopt;
}

/// Returns true when a run has been on the worker since this time.
bool has_run_since(const worker_state& worker, time_point since) {
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [&](const auto& item) { return item.second->assigned_at <= since; });
}

/// Returns true when the run has ended by the replicated job state. The end of a run whose end this leader
/// has proposed is still to be processed.
bool has_ended(const run_track& track, const task_record& task) {
    const bool is_decided = track.stage != run_stage::committing && !track.is_ending;
    return is_decided && std::none_of(task.runs.begin(), task.runs.end(), [&](const assigned_run& run) {
               return run.run == track.key.run && run.worker == track.assigned_to;
           });
}

} // namespace

void dispatcher::find_stuck_tasks(const open_job& job, const job_record& record, const step_key& key,
                                  std::vector<stuck_task>& stuck) const {
    const task_record not_begun; // an occurrence without a record has not begun, so all of its tasks wait
    const auto* step = record.find_step(key.occurrence, key.step);
    const auto ready = m_ready.find(key);
    auto run = job.runs.lower_bound(run_key{{key, 0}, 0});
    const bool has_runs = run != job.runs.end() && run->first.task.step == key;
    if (step != nullptr && step->is_done() && ready == m_ready.end() && !has_runs) {
        return;
    }
    for (std::uint32_t index = 0; index < record.job->steps[key.step].count; ++index) {
        const task_key task{key, index};
        const auto& state = step == nullptr ? not_begun : step->tasks[index];
        bool is_tracked = false;
        for (; run != job.runs.end() && run->first.task == task; ++run) {
            is_tracked = true;
            if (has_ended(*run->second, state)) {
                stuck.push_back({run->first, stuck_reason::not_assigned});
            }
        }
        const bool waits = state.phase == task_phase::waiting && !is_tracked;
        const bool is_queued = ready != m_ready.end() && ready->second.waiting.contains(index);
        if (waits != is_queued) {
            stuck.push_back({{task, 0}, waits ? stuck_reason::not_queued : stuck_reason::not_waiting});
        }
        for (const auto& assigned : state.runs) {
            if (!job.runs.contains(run_key{task, assigned.run})) {
                stuck.push_back({{task, assigned.run}, stuck_reason::not_tracked});
            }
        }
    }
}

void dispatcher::find_stuck_tasks_of_job(const open_job& job, const job_record& record,
                                         std::vector<stuck_task>& stuck) const {
    const auto examine = [&](std::uint32_t occurrence) {
        const auto found = record.occurrences.find(occurrence);
        const bool is_done = found != record.occurrences.end() && found->second.is_done;
        for (std::uint32_t step = 0; !is_done && step < record.job->steps.size(); ++step) {
            if (record.may_begin(occurrence, step)) {
                find_stuck_tasks(job, record, {record.job->id, occurrence, step}, stuck);
            }
        }
    };
    if (!record.job->schedule.has_value()) {
        examine(0);
    }
    for (const auto& [occurrence, due] : job.due) {
        examine(occurrence);
    }
}

std::vector<stuck_task> dispatcher::find_stuck(time_point now) const {
    std::vector<stuck_task> stuck;
    for (const auto& [key, track] : m_tracks) {
        if (const auto reason = find_stuck_reason(track, now); reason.has_value()) {
            stuck.push_back({key, *reason});
        }
    }
    const auto add_job = [&](job_id id, stuck_reason reason) {
        stuck.push_back({{{{id, 0, 0}, 0}, 0}, reason});
    };
    for (const auto& [id, record] : m_job_state.get_jobs()) {
        if (record.phase != job_phase::open) {
            continue;
        }
        if (const auto job = m_jobs.find(id); job != m_jobs.end()) {
            find_stuck_tasks_of_job(job->second, record, stuck);
        } else {
            add_job(id, stuck_reason::not_opened);
        }
    }
    for (const auto& [id, job] : m_jobs) {
        const auto* record = m_job_state.find_job(id);
        if (record == nullptr || record->phase != job_phase::open) {
            add_job(id, stuck_reason::not_closed);
        }
    }
    std::sort(stuck.begin(), stuck.end()); // the maps' iteration order differs between processes
    return stuck;
}

/// A run that is not tracked is not adopted: a start of it that this leader has sent may be on its way, and a
/// list that lacks it would prove nothing. A new leader adopts it under a higher fence.
bool dispatcher::mend(const stuck_task& stuck, time_point now, std::int64_t wall_ms) {
    const auto& task = stuck.run.task;
    switch (stuck.reason) {
    case stuck_reason::not_queued:
        make_task_ready(task, now);
        return true;
    case stuck_reason::not_waiting:
        remove_from_queue(task);
        return true;
    case stuck_reason::not_assigned: {
        job_state_event ended;
        ended.what = job_state_event::kind::run_ended;
        ended.run = stuck.run;
        ended.worker = find(stuck.run)->assigned_to;
        ended.end = run_end::lost; // how it ended is in the replicated job state already
        on_run_ended(ended, now);
        return true;
    }
    case stuck_reason::not_opened:
        open(*m_job_state.find_job(task.step.job), now, now, wall_ms);
        return true;
    case stuck_reason::not_closed:
        close(task.step.job, now);
        return true;
    case stuck_reason::not_tracked:
    case stuck_reason::not_listed:
    case stuck_reason::not_committed:
    case stuck_reason::end_not_committed:
        return false;
    }
    return false;
}

void dispatcher::remove_from_queue(const task_key& task) {
    const auto found = m_ready.find(task.step);
    found->second.waiting.erase(task.index);
    if (found->second.waiting.empty()) {
        m_ready.erase(found);
    }
}

void dispatcher::audit(time_point now, std::int64_t wall_ms) {
    if (now < m_next_audit) {
        return;
    }
    m_next_audit = now + audit_interval;
    const auto stuck = find_stuck(now);
    m_counts.stuck_tasks = stuck.size();
    std::size_t lines = 0;
    for (const auto& item : stuck) {
        const auto* track = find_track(item.run);
        const auto worker = track == nullptr ? worker_incarnation{} : track->host->report.incarnation;
        const bool is_mended = mend(item, now, wall_ms);
        m_counts.mended_differences += is_mended ? 1 : 0;
        if (++lines > max_lines) {
            continue;
        }
        auto line = log_event(log_level::error, "task_stuck");
        add_run(line, item.run);
        line.add("reason", get_stuck_name(item.reason));
        if (track != nullptr) {
            add_worker(line, worker);
        }
        line.add("mended", is_mended ? "yes" : "no").add("stuck", static_cast<std::uint64_t>(stuck.size()));
    }
    audit_workers(now);
}

// ---- workers

std::vector<worker_amounts> dispatcher::sum_reserved() const {
    std::vector<worker_amounts> sums(m_workers.count_slots());
    for (const auto& [key, track] : m_tracks) {
        sums[track.host->slot] += get_need(track.get_spec());
    }
    return sums;
}

std::vector<leader_difference> dispatcher::find_differences(time_point now) const {
    std::vector<leader_difference> found;
    const auto reserved = sum_reserved();
    for (const auto* worker : m_workers.get_all()) {
        const auto& incarnation = worker->report.incarnation;
        if (worker->reserved != reserved[worker->slot]) {
            found.push_back({difference_kind::reserved, incarnation, {}});
        }
        const auto overdue = now - worker->hold_expires_at;
        if (worker->is_hold_pending && overdue > hold_slack) {
            found.push_back({difference_kind::hold, incarnation, overdue});
        }
    }
    const auto fence_overdue = now - m_fence_raise_proposed - commit_timeout;
    if (m_is_raising_fence && fence_overdue > duration{0}) {
        found.push_back({difference_kind::fence_raise, {}, fence_overdue});
    }
    const auto advice_overdue = now - m_advice_expires;
    if (m_is_advice_pending && advice_overdue > advice_slack) {
        found.push_back({difference_kind::advice, {}, advice_overdue});
    }
    return found;
}

/// A hold stays pending, so that a late answer is not taken for that of a later hold, whose list would seem
/// newer than it is. Where its worker has had a run for some time, it counts as unanswered: no lease is
/// extended, and the runs can be given up once their lease has expired. A fence may be raised twice: each
/// raise is committed before it is used.
bool dispatcher::mend(const leader_difference& difference, time_point now) {
    switch (difference.kind) {
    case difference_kind::reserved:
        recount_runs(*find_worker(difference.worker));
        return true;
    case difference_kind::hold: {
        auto& worker = *find_worker(difference.worker);
        if (worker.is_hold_unanswered || !has_run_since(worker, now - hold_slack)) {
            return false;
        }
        worker.is_hold_unanswered = true;
        worker.record_hold_failure(order_failure::unanswered, now);
        m_workers.schedule_check(worker, now);
        return true;
    }
    case difference_kind::fence_raise:
        propose_fence_raise(now);
        return true;
    case difference_kind::advice:
        m_is_advice_pending = false;
        return true;
    }
    return false;
}

void dispatcher::recount_runs(worker_state& worker) {
    worker.runs.clear();
    worker.step_counts.clear();
    worker.reserved = {};
    worker.filling_millicores = 0;
    worker.short_task_millicores = 0;
    worker.filling_runs = 0;
    worker.serving_runs = 0;
    worker.suspects = 0;
    worker.probations = 0;
    for (auto& [key, track] : m_tracks) {
        if (track.host == &worker) {
            count_run(worker, track, 1);
        }
    }
    refresh_pressure(worker);
    m_must_place = true;
}

void dispatcher::audit_workers(time_point now) {
    const auto differences = find_differences(now);
    m_counts.leader_differences = differences.size();
    std::size_t lines = 0;
    for (const auto& difference : differences) {
        const bool is_mended = mend(difference, now);
        m_counts.mended_differences += is_mended ? 1 : 0;
        if (++lines > max_lines) {
            continue;
        }
        auto line = log_event(log_level::error, "leader_difference");
        line.add("reason", get_difference_name(difference.kind));
        if (!difference.worker.id.empty()) {
            add_worker(line, difference.worker);
        }
        line.add("overdue_ms", to_milliseconds(difference.overdue))
            .add("mended", is_mended ? "yes" : "no")
            .add("differences", static_cast<std::uint64_t>(differences.size()));
    }
}

} // namespace poplarpitch
