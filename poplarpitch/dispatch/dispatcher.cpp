// Lifecycle of jobs: when they are accepted, when their steps and occurrences may begin, and how they end.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/erase_job.h"
#include "poplarpitch/dispatch/history_log.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration place_interval = milliseconds{100}; // while tasks wait; otherwise events trigger a pass
// Time between two checks of all workers and runs for what is due. Each message runs a turn of the event
// loop, 2,000 a second with 490 workers. Checking 490 workers and 5,000 runs in each turn took a tenth of the
// leader's time.
constexpr duration check_interval = milliseconds{5};
// Heartbeats and relays report all live workers to a new leader sooner than this. Only the others are sent a
// hold before they have reported.
constexpr duration announce_timeout = milliseconds{400};

/// Returns when an ending run is last known to have run, or the default if it never did. A run on a worker
/// that became unreachable is known to have existed only up to the worker's last list.
time_point get_worked_until(const run_track& track, run_end end, time_point now) {
    const bool has_run = track.confirmed_at != time_point{} || end == run_end::done || end == run_end::failed;
    if (!has_run) {
        return {};
    }
    return end == run_end::lost ? track.listed_at : now;
}

/// Returns since when the task of an ending run has not run. A run that was not confirmed may never have
/// existed.
time_point get_task_idle_since(const run_track& track, run_end end, time_point now) {
    const bool has_run = track.confirmed_at != time_point{};
    return has_run ? get_worked_until(track, end, now) : track.idle_since;
}

fair_share_settings make_share_settings(const decision_settings& decisions) {
    fair_share_settings settings;
    settings.weights = decisions.share_weights;
    return settings;
}

} // namespace

dispatcher::dispatcher(const dispatch_settings& settings, const job_state_machine& job_state)
    : m_settings(settings), m_job_state(job_state),
      m_long_running(settings.long_running_share, settings.initial_report_time),
      m_shares(make_share_settings(settings.decisions)) {}

dispatcher::~dispatcher() = default;

// ---- leading

void dispatcher::start_leading(log_term term, time_point now, std::int64_t wall_ms) {
    stop_leading();
    m_term = term;
    m_long_running.clear(now);
    m_completion.clear(now);
    m_demand.filling_backlog = 0;
    m_pressure.load(m_job_state.get_pressure());
    restore_learned(now, wall_ms); // before jobs are opened: their objectives rest on learned durations
    for (const auto& [id, record] : m_job_state.get_jobs()) {
        if (record.phase == job_phase::open) {
            restore_suspects(record, now);
            m_attempts.restore(record, now);
            const auto age = std::max<std::int64_t>(wall_ms - record.job->accepted_ms, 0);
            open(record, now - milliseconds{age}, now, wall_ms);
        } else {
            m_ended.emplace(now + m_settings.ended_job_retention, id);
        }
    }
    for (const auto& [key, run] : m_job_state.get_assigned_runs()) {
        const auto* record = m_job_state.find_job(key.task.step.job);
        adopt_worker(run, now);
        add_track(key, record->job, run.worker, run_stage::adopting, m_suspects.get_isolation(key.task), now)
            .is_confirmed = run.is_confirmed;
        if (record->phase != job_phase::open) {
            stop_run(*find(key), now);
        }
    }
    for (const auto& job : m_job_state.get_refused()) {
        m_refused.emplace_back(now + m_settings.ended_job_retention, job);
    }
    limit_probations();
    m_must_place = true;
    log_takeover({term, get_fence(), m_jobs.size(), m_tracks.size(), m_workers.get_map().size(),
                  count_waiting_tasks()});
}

/// Adds the worker of a run that was assigned before this leader's term. An incarnation that ended
/// together with the former leader never sends a heartbeat. When a hold is sent to its address, the next
/// incarnation answers, and its runs need not wait for their lease to expire.
void dispatcher::adopt_worker(const assigned_run& run, time_point now) {
    auto& worker = get_or_add_worker(run.worker, now);
    if (worker.is_hold_unanswered && !worker.report.address.empty()) {
        return; // adopted with another of its runs
    }
    // An earlier leader may have granted a lease just now. A relay may report the worker although it has
    // vanished, so it gets no other lease before it has answered.
    worker.is_hold_unanswered = true;
    assume_lease(worker, m_settings.lease, now);
    record_lease_sent(worker, now);
    if (worker.report.address.empty() && !run.address.empty()) {
        worker.report.address = run.address;
        worker.next_hold = now + announce_timeout;
        worker.last_heartbeat = now;
        m_workers.add_address(worker);
    }
}

void dispatcher::restore_suspects(const job_record& record, time_point now) {
    for (const auto& [number, occurrence] : record.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].crash.crashes > 0 && tasks[index].phase != task_phase::done) {
                    m_suspects.record_crashes({{record.job->id, number, step}, index},
                                              tasks[index].crash.crashes, now);
                }
            }
        }
    }
}

void dispatcher::stop_leading() {
    m_term = 0;
    m_workers.clear();
    m_first_holds.clear();
    m_lost_workers.clear();
    m_is_raising_fence = false;
    m_tracks.clear();
    m_jobs.clear();
    m_ready.clear();
    m_attempts.clear();
    m_suspects.clear();
    m_forecast.clear();
    m_admission.clear();
    m_shares.clear();
    m_advice.clear();
    m_is_advice_pending = false;
    m_due.clear();
    m_ended.clear();
    m_refused.clear();
    m_scheduled_orders = {};
    m_orders.clear();
    m_commands.clear();
    m_timings.clear();
    m_next_check = {};
    m_next_pools = {};
    m_next_work_refresh = {};
    m_next_speeds = {};
    m_counts.slow_workers = 0;
    m_drained_pools.clear();
    m_next_audit = {};
    m_next_waits = {};
    m_counts.stuck_tasks = 0;
    m_counts.leader_differences = 0;
}

// ---- jobs

void dispatcher::open(const job_record& record, time_point accepted, time_point now, std::int64_t wall_ms) {
    auto& job = m_jobs[record.job->id];
    job.accepted = accepted;
    job.idle_since = now;
    if (const auto millicores = record.job->get_long_running_millicores(); millicores > 0) {
        m_long_running.add(record.job->id, record.job->queue.pool, millicores);
    }
    for (const auto& [number, occurrence] : record.occurrences) {
        for (const auto& step : occurrence.steps) {
            job.has_started = job.has_started || step.done > 0;
        }
    }
    if (!record.job->schedule.has_value()) {
        begin_occurrence(record, 0, accepted); // how long a task has waited at an earlier leader is not known
        return;
    }
    const auto& schedule = *record.job->schedule;
    for (std::uint32_t number = 0; number < schedule.count; ++number) {
        const auto found = record.occurrences.find(number);
        if (found != record.occurrences.end() && found->second.is_done) {
            continue;
        }
        const auto due = schedule.first_ms + static_cast<std::int64_t>(number) * schedule.interval_ms;
        if (due <= wall_ms) {
            begin_occurrence(record, number, now);
        } else {
            m_due.emplace(due, step_key{record.job->id, number, 0});
        }
    }
}

void dispatcher::begin_occurrence(const job_record& record, std::uint32_t occurrence, time_point now) {
    if (record.job->schedule.has_value()) {
        auto& job = m_jobs[record.job->id];
        job.due.emplace(occurrence, now);
        if (count_waiting_tasks(record.job->id) == 0) {
            job.idle_since = std::max(job.idle_since, now); // nothing of it could run before
        }
    }
    for (std::uint32_t step = 0; step < record.job->steps.size(); ++step) {
        make_step_ready(record, {record.job->id, occurrence, step}, now);
    }
}

void dispatcher::make_step_ready(const job_record& record, const step_key& key, time_point now) {
    if (!record.may_begin(key.occurrence, key.step)) {
        return;
    }
    const auto& spec = record.job->steps[key.step];
    const auto* step = record.find_step(key.occurrence, key.step);
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        // An occurrence without a record has not begun, so all of its tasks wait.
        if (step == nullptr || step->tasks[index].phase == task_phase::waiting) {
            make_task_ready({key, index}, now);
        }
    }
}

void dispatcher::make_task_ready(const task_key& key, time_point since) {
    const auto* record = m_job_state.find_job(key.step.job);
    if (record == nullptr || record->phase != job_phase::open) {
        return;
    }
    auto& ready = m_ready[key.step];
    if (ready.job == nullptr) {
        ready.job = record->job;
        const auto durations = m_forecast.get_step_durations_ms(*record->job, key.step.occurrence);
        ready.objective_ms = to_milliseconds(record->job->get_objective(durations));
        ready.remaining_ms = record->job->get_remaining_path_ms(key.step.step, durations);
    }
    ready.since = ready.waiting.empty() ? since : std::min(ready.since, since);
    ready.waiting.insert(key.index);
    m_must_place = true;
}

void dispatcher::close(job_id id, time_point now) {
    record_job_end(id, now);
    m_forecast.forget(id);
    m_long_running.remove(id);
    const auto running = m_jobs.contains(id) ? std::move(m_jobs.at(id).runs) : decltype(open_job::runs){};
    m_jobs.erase(id);
    const step_key first_step{id, 0, 0};
    erase_job(m_ready, first_step);
    m_ended.emplace(now + m_settings.ended_job_retention, id);
    for (const auto& [key, track] : running) {
        stop_run(*track, now);
    }
    erase_job(m_advice, first_step);
    m_attempts.forget_job(id);
    m_suspects.forget_job(id);
}

void dispatcher::on_event(const job_state_event& event, time_point now, std::int64_t wall_ms) {
    if (!is_leading()) {
        return;
    }
    const auto id = event.run.task.step.job;
    switch (event.what) {
    case job_state_event::kind::job_accepted:
        open(*m_job_state.find_job(id), now, now, wall_ms);
        return;
    case job_state_event::kind::job_ended:
        close(id, now);
        return;
    case job_state_event::kind::job_refused:
        m_refused.emplace_back(now + m_settings.ended_job_retention, refused_job{id, event.number});
        return;
    case job_state_event::kind::run_assigned:
        if (auto* track = find(event.run); track != nullptr) {
            track->stage = run_stage::starting;
            send_due_order(*track, now);
        }
        return;
    case job_state_event::kind::run_refused: {
        const auto* track = find_track(event.run);
        const auto idle_since = track == nullptr ? now : track->idle_since;
        drop_track(event.run);
        const auto* task = m_job_state.find_task(event.run.task);
        if (task == nullptr || task->phase == task_phase::waiting) {
            make_task_ready(event.run.task, idle_since);
        }
        return;
    }
    case job_state_event::kind::run_ended:
        on_run_ended(event, now);
        return;
    case job_state_event::kind::attempt_failed:
        ++m_counts.failed_attempts;
        m_counts.jobs_out_of_attempts += event.attempts.is_exhausted() ? 1 : 0;
        log_attempt_failed(event, m_term);
        return;
    case job_state_event::kind::task_crashed:
        on_task_crashed(event, now);
        return;
    case job_state_event::kind::step_done: {
        const auto* record = m_job_state.find_job(id);
        auto key = event.run.task.step;
        const auto done = key.step;
        m_forecast.on_step_done(*record->job, key);
        for (key.step = done + 1; key.step < record->job->steps.size(); ++key.step) {
            const auto& after = record->job->steps[key.step].depends_on;
            if (std::find(after.begin(), after.end(), done) != after.end()) {
                make_step_ready(*record, key, now);
            }
        }
        return;
    }
    case job_state_event::kind::worker_retired:
        if (auto* worker = find_worker(event.worker); worker != nullptr) {
            worker->is_draining = true;
        }
        return;
    case job_state_event::kind::data_centres_changed:
        on_data_centres_changed();
        return;
    case job_state_event::kind::fence_raised:
        on_fence_raised(now);
        return;
    case job_state_event::kind::config_changed:
        for (auto* worker : m_workers.get_all()) {
            update_room_expiry(*worker);
        }
        m_must_place = true;
        return;
    }
}

void dispatcher::on_run_ended(const job_state_event& event, time_point now) {
    const auto* ended = find(event.run);
    auto* worker = ended == nullptr ? find_worker(event.worker)
                                    : ended->host; // the one whose list the number belongs to
    if (worker != nullptr && event.number > 0) {
        worker->ends_being_committed -= worker->ends_being_committed > 0 ? 1 : 0;
        update_acknowledged(*worker);
        if (worker->ends_being_committed == 0) {
            schedule_hold(*worker, now);
        }
    }
    m_must_place = true;
    if (ended == nullptr) {
        return;
    }
    const auto idle_since = get_task_idle_since(*ended, event.end, now);
    const auto attempt_key = ended->job->get_attempt_key(event.run.task);
    record_run_time(*ended, event.end, now);
    log_run_ended(*ended, event.end, m_term, now);
    drop_track(event.run, get_worked_until(*ended, event.end, now));
    if (event.end == run_end::done) {
        ++m_counts.done_runs;
        record_drain(event.run.task);
    }
    if (event.end == run_end::failed) {
        ++m_counts.failed_runs;
        m_attempts.record_failure(attempt_key, event.worker, now);
    }
    const auto* task = m_job_state.find_task(event.run.task);
    if (task == nullptr) {
        return;
    }
    if (task->phase == task_phase::waiting) {
        make_task_ready(event.run.task, idle_since);
        break_gang(event.run, now);
    }
    if (task->phase == task_phase::done) {
        m_suspects.forget(event.run.task);
        for (const auto& copy : task->runs) { // the first copy that is done counts
            if (auto* track = find({event.run.task, copy.run}); track != nullptr) {
                stop_run(*track, now);
            }
        }
    }
}

void dispatcher::record_run_time(const run_track& track, run_end end, time_point now) {
    if (!track.has_known_start || track.get_spec().long_running) {
        return;
    }
    const auto took_ms = to_milliseconds(now - track.confirmed_at);
    const bool is_first = track.key.run == 1; // a later run may resume from a checkpoint
    if (end == run_end::done && is_first) {
        m_forecast.on_done(track.key.task, took_ms);
    }
    if (end == run_end::failed) {
        m_forecast.on_failed(track.key.task, took_ms);
    }
}

void dispatcher::break_gang(const run_key& ended, time_point now) {
    const auto* record = m_job_state.find_job(ended.task.step.job);
    const auto& spec = record->job->steps[ended.task.step.step];
    if (!spec.gang) {
        return;
    }
    // The other members wait for one that will not come. Stopping them now frees their room.
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        if (auto* track = find({{ended.task.step, index}, ended.run}); track != nullptr) {
            stop_run(*track, now);
        }
    }
}

void dispatcher::begin_due_occurrences(time_point now, std::int64_t wall_ms) {
    while (!m_due.empty() && m_due.begin()->first <= wall_ms) {
        const auto key = m_due.begin()->second;
        m_due.erase(m_due.begin());
        const auto* record = m_job_state.find_job(key.job);
        if (record != nullptr && record->phase == job_phase::open) {
            begin_occurrence(*record, key.occurrence, now);
        }
    }
}

void dispatcher::forget_old_jobs(time_point now) {
    while (!m_ended.empty() && m_ended.begin()->first <= now) {
        job_wire::job_command command;
        command.mutable_forget()->set_id(m_ended.begin()->second);
        m_commands.push_back(std::move(command));
        m_ended.erase(m_ended.begin());
    }
    while (!m_refused.empty() && m_refused.front().first <= now) {
        const auto job = m_refused.front().second;
        m_refused.pop_front();
        job_wire::job_command command;
        encode(job, *command.mutable_refuse());
        command.mutable_refuse()->set_forget(true);
        m_commands.push_back(std::move(command));
    }
}

void dispatcher::tick(time_point now, std::int64_t wall_ms, bool can_commit) {
    if (!is_leading()) {
        return;
    }
    begin_due_occurrences(now, wall_ms);
    forget_old_jobs(now);
    if (now >= m_next_check) {
        m_next_check = now + check_interval;
        check_workers(now);
        send_scheduled_orders(now);
    }
    if (!m_ready.empty() && now >= m_next_place) {
        m_must_place = true; // a worker that got no tasks for a time may be usable again
        m_next_place = now + place_interval;
    }
    if (can_commit) {
        place(now);
        start_copies(now);
    }
    observe_pools(now);
    check_speeds(now);
    save_pressure(now);
    save_learned(now, wall_ms);
    report_load(now);
    audit(now, wall_ms);
    report_waits(now);
}

} // namespace poplarpitch
