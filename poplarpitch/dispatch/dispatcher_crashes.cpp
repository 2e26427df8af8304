// Tasks that may have crashed their workers: what a loss says about each run, and how suspects are treated.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/age_at_loss.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {
namespace {

// Maximum age of a run that counts as just begun when its worker crashes. Tasks run for seconds, so a task
// that only ran beside the cause is rarely that young at two crashes in a row. Nor can a run of this age have
// completed without being listed.
constexpr duration just_begun_age = milliseconds{250};
constexpr std::int64_t just_begun_part = 4; // part of the estimate, which may be off by 50%

/// Returns true when the run may have existed on its worker.
bool may_have_begun(const run_track& track) {
    if (track.is_ending || track.stage == run_stage::committing) {
        return false;
    }
    return track.stage != run_stage::starting || track.is_order_pending || track.may_start_late;
}

bool has_just_begun(duration age, const step_spec& spec) {
    const bool is_long = spec.long_running || milliseconds{spec.estimate_ms} >= just_begun_part * age;
    return age <= just_begun_age && is_long;
}

/// Returns true when the run cannot have ended unnoticed before its worker crashed: the worker was waiting to
/// report the next end, or the run was too young to have completed. A run that resumes from a checkpoint
/// takes less time than its estimate.
bool is_surely_there(const run_track& track, bool has_checkpoint, time_point now) {
    if (track.stage != run_stage::running) {
        return false; // confirmed only at a former incarnation of the worker
    }
    const auto& worker = *track.host;
    const bool began_before_failure = worker.hold_failures > 0 && track.confirmed_at < worker.failing_since;
    if (began_before_failure && worker.has_broken_poll) {
        return true;
    }
    const auto& spec = track.get_spec();
    const auto max_age = (began_before_failure ? worker.failing_since : now) - track.assigned_at;
    const bool is_long = spec.long_running || milliseconds{spec.estimate_ms} >= just_begun_part * max_age;
    return is_long && track.has_known_start && !has_checkpoint;
}

bool is_other_job(const run_track& left, const run_track& right) {
    return left.key.task.step.job != right.key.task.step.job;
}

void set_isolation(run_track& track, isolation_level isolation) {
    track.host->count_isolated(track.isolation, -1);
    track.isolation = isolation;
    track.host->count_isolated(track.isolation, 1);
}

} // namespace

/// A draining worker has not crashed, whatever happened to it. A worker that became unreachable may have
/// crashed at any time since then, or its runs may have ended. A confirmed run certainly existed at the crash
/// only if the last connection broke, as it does when the process ends, and if no end can have been missed.
run_loss dispatcher::assess_loss(const run_track& track, time_point now) const {
    const auto& worker = *track.host;
    const auto age = get_age_at_loss(track, now);
    const bool is_confirmed = track.confirmed_at != time_point{};
    run_loss loss;
    loss.age_ms = is_confirmed && age.has_value() ? to_milliseconds(*age) : 0;
    if (worker.is_draining || m_job_state.is_retired(worker.report.incarnation) || !may_have_begun(track)) {
        return loss;
    }
    const bool was_heard = worker.hold_failures > 0 ? worker.has_failed_early : !worker.is_hold_pending;
    const auto* task = m_job_state.find_task(track.key.task);
    const bool has_checkpoint = task != nullptr && !task->checkpoint.empty();
    const bool was_there = is_confirmed && was_heard && is_surely_there(track, has_checkpoint, now);
    loss.crash = was_there ? compare_with_neighbours(track, age) : crash_evidence::possible;
    return loss;
}

/// The evidence is stronger against a task that ran alone. It is also stronger against one that had just
/// begun, both now and at the previous crash, if no other suspect was present.
crash_evidence dispatcher::compare_with_neighbours(const run_track& track,
                                                   std::optional<duration> age) const {
    bool is_alone = true;
    bool is_only_suspect = track.isolation != isolation_level::none;
    for (const auto& [key, other] : track.host->runs) {
        if (may_have_begun(*other) && is_other_job(track, *other)) {
            is_alone = false;
            is_only_suspect = is_only_suspect && other->isolation == isolation_level::none;
        }
    }
    const auto* task = m_job_state.find_task(track.key.task);
    // The true age of a run that was first seen in a list is unknown; it is counted from the time of that
    // list.
    const bool is_quick =
        age.has_value() && track.has_known_start && task != nullptr &&
        has_just_begun(std::max<duration>(*age, milliseconds{task->crash.longest_ms}), track.get_spec());
    if (is_alone) {
        return is_quick ? crash_evidence::clear : crash_evidence::likely;
    }
    return is_only_suspect && is_quick ? crash_evidence::likely : crash_evidence::shared;
}

/// All runs are assessed before one of them ends, since each is a neighbour of the others.
std::vector<lapsed_run> dispatcher::assess_crash_evidence(const worker_state& worker, time_point now) const {
    std::vector<lapsed_run> assessed;
    for (const auto& [key, run] : worker.runs) {
        if (!run->is_ending) {
            assessed.push_back({key, assess_loss(*run, now)});
        }
    }
    return assessed;
}

void dispatcher::propose_crash_record(const lapsed_run& lapsed, const worker_incarnation& worker) {
    job_wire::job_command command;
    auto& message = *command.mutable_crash();
    encode(lapsed.run.task, *message.mutable_task());
    message.set_run(lapsed.run.run);
    message.set_worker(worker.id);
    message.set_born_ms(worker.process_start_ms);
    message.set_crash(static_cast<std::uint32_t>(lapsed.loss.crash));
    message.set_age_ms(lapsed.loss.age_ms);
    m_commands.push_back(std::move(command));
}

void dispatcher::on_task_crashed(const job_state_event& event, time_point now) {
    ++m_counts.crashes;
    m_suspects.record_crashes(event.run.task, static_cast<std::uint32_t>(event.number), now);
    {
        auto line = log_event(log_level::warn, "task_crashed");
        add_run(line, event.run);
        add_worker(line, event.worker)
            .add("evidence", get_evidence_name(event.crash))
            .add("age_ms", event.age_ms)
            .add("crashes", event.number);
    }
    const auto* record = m_job_state.find_job(event.run.task.step.job);
    if (record != nullptr && record->phase == job_phase::open) {
        return;
    }
    ++m_counts.jobs_given_up;
    auto line = log_event(log_level::warn, "job_given_up");
    add_run(line, event.run);
    line.add("reason", "its task crashed the workers that started it").add("crashes", event.number);
}

/// A suspect that has run without a crash for long enough is cleared, and its worker accepts other tasks
/// again.
void dispatcher::clear_suspects(worker_state& worker, time_point now) {
    if (worker.suspects == 0) {
        return;
    }
    for (const auto& [key, run] : worker.runs) {
        auto& track = *run;
        const auto* task = m_job_state.find_task(key.task);
        const bool is_suspect = track.isolation != isolation_level::none && track.stage == run_stage::running;
        if (!is_suspect || task == nullptr ||
            to_milliseconds(now - track.confirmed_at) < task->crash.get_reset_run_ms()) {
            continue;
        }
        set_isolation(track, isolation_level::none);
        m_suspects.forget(key.task);
        m_must_place = true;
        auto line = log_event(log_level::info, "task_cleared");
        add_run(line, key);
        add_worker(line, worker.report.incarnation).add("age_ms", to_milliseconds(now - track.confirmed_at));
    }
}

/// Which workers the former leader reserved is not known. A worker was not reserved if a suspect runs there
/// beside other runs.
void dispatcher::limit_probations() {
    const auto max_probations = get_max_probations(m_workers.get_all().size());
    std::size_t reserved = 0;
    for (auto* worker : m_workers.get_all()) {
        if (worker->probations == 0) {
            continue;
        }
        if (worker->runs.size() == 1 && reserved < max_probations) {
            ++reserved;
            continue;
        }
        for (const auto& [key, track] : worker->runs) {
            set_isolation(*track, std::min(track->isolation, isolation_level::apart));
        }
    }
}

} // namespace poplarpitch
