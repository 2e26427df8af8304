// Workers that leave, become silent or are lost: when each is checked, and what becomes of its runs.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/age_at_loss.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration max_check_interval =
    milliseconds{500}; // longest time between two checks of a worker, when nothing requires an earlier one
constexpr duration leaving_check_interval =
    milliseconds{20};                               // between checks of a draining worker that still has runs
constexpr duration leave_slack = milliseconds{300}; // before a draining worker's deadline

/// Adds the age of the run and the number of runs on the worker. They help to distinguish a task that
/// crashes its worker from one that only ran on the same worker, and a crash from a network failure.
void add_loss_fields(log_event& line, const run_track& track, time_point now) {
    add_run(line, track.key);
    add_worker(line, track.host->report.incarnation);
    if (const auto age = get_age_at_loss(track, now); age.has_value()) {
        line.add("age_ms", to_milliseconds(*age));
    }
    line.add("runs", static_cast<std::uint64_t>(track.host->runs.size()));
}

} // namespace

void dispatcher::check_workers(time_point now) {
    for (auto* worker : m_workers.take_due(now, time_point::max())) {
        check_worker(*worker, now);
        if (may_forget(*worker, now)) {
            m_workers.erase(
                worker_incarnation{worker->report.incarnation}); // a copy, since the state is erased
        } else {
            m_workers.schedule_check(*worker, get_next_check(*worker, now));
        }
    }
}

bool dispatcher::may_forget(const worker_state& worker, time_point now) const {
    const bool is_idle = worker.runs.empty() && worker.ends_being_committed == 0;
    const auto retention =
        worker.lapsed_runs.empty() ? m_settings.worker_removal_delay : m_settings.lapsed_worker_removal_delay;
    const bool has_no_heartbeats = now - worker.last_heartbeat > retention;
    return is_idle && (worker.is_lost || has_no_heartbeats) && !worker.is_hold_pending;
}

void dispatcher::mark_lost(worker_state& worker, const char* reason, time_point now) {
    worker.is_lost = true;
    worker.awaits_fence = false;
    worker.ends_being_committed = 0;
    m_lost_workers.insert(worker.report.incarnation);
    m_workers.schedule_check(worker, now);
    auto line = log_event(log_level::warn, "worker_lost");
    add_worker(line, worker.report.incarnation)
        .add("reason", reason)
        .add("runs", static_cast<std::uint64_t>(worker.runs.size()));
    for (const auto& run : worker.lapsed_runs) {
        if (run.loss.crash != crash_evidence::none) {
            propose_crash_record(run, worker.report.incarnation);
        }
    }
    worker.lapsed_runs.clear();
}

void dispatcher::mark_run_lost(run_track& track, end_reason reason, const run_loss& loss, time_point now) {
    ++m_counts.lost_runs;
    auto line = log_event(log_level::warn, "run_lost", log_class::history);
    line.add("reason", get_end_reason_name(reason));
    add_loss_fields(line, track, now);
    propose_end(track, run_end::lost, {reason, {}, 0}, now, {}, loss);
}

void dispatcher::on_worker_lost(worker_state& worker, end_reason reason, time_point now) {
    if (worker.is_lost) {
        return;
    }
    const auto assessed = assess_crash_evidence(worker, now);
    mark_lost(worker, get_end_reason_name(reason), now);
    for (const auto& run : assessed) {
        mark_run_lost(*worker.runs.at(run.run), reason, run.loss, now);
    }
}

/// A worker may keep its id when it restarts. A start may then have reached a later incarnation than the one
/// that it names. If the leader has not noticed that incarnation, this may be so even for a start that was
/// answered. The clock of the later incarnation starts anew, so only the maximum lease length bounds how long
/// the run may continue there. A long-running task stays at a worker for long, so its start is rarely recent,
/// and it has to be restarted within seconds. It is exempt from this bound once the outcome of its start is
/// known. A new leader knows it from the replicated job state.
time_point dispatcher::get_lease_end(const run_track& track) const {
    const auto& worker = *track.host;
    const bool is_start_known =
        !track.may_yet_start() && (track.stage != run_stage::adopting || track.is_confirmed);
    const bool may_be_elsewhere = !track.get_spec().long_running || !is_start_known;
    if (worker.report.incarnation.process_start_ms == 0 || !may_be_elsewhere) {
        return worker.lease_end;
    }
    return std::max(worker.lease_end, worker.granted_at + get_lease_span(m_settings.max_lease));
}

void dispatcher::check_worker(worker_state& worker, time_point now) {
    if (needs_hold(worker) && worker.next_hold <= now) {
        send_hold(worker, now);
    }
    if (worker.is_draining && !worker.is_lost) {
        evacuate(worker, now);
    }
    // Holds that were surely not sent say nothing about the worker, but no other hold extends its lease.
    const bool is_out_of_reach = !worker.has_report || worker.is_hold_unanswered;
    if (!is_out_of_reach || worker.runs.empty() || now < worker.lease_end) {
        return;
    }
    for (const auto& run : assess_crash_evidence(worker, now)) {
        auto& track = *worker.runs.at(run.run);
        if (track.stage == run_stage::committing || now < get_lease_end(track)) {
            continue;
        }
        ++m_counts.lost_runs;
        auto line = log_event(log_level::warn, "lease_lapsed", log_class::history);
        add_loss_fields(line, track, now);
        if (worker.listed_at != time_point{}) {
            line.add("listed_ms", to_milliseconds(now - worker.listed_at));
        }
        propose_end(track, run_end::lost, {end_reason::lease_lapsed, {}, 0}, now, {},
                    {crash_evidence::none, run.loss.age_ms});
        const auto crash = std::min(run.loss.crash, crash_evidence::possible);
        worker.lapsed_runs.push_back({run.run, {crash, run.loss.age_ms}});
    }
}

time_point dispatcher::get_next_check(const worker_state& worker, time_point now) const {
    auto next = now + max_check_interval;
    if (needs_hold(worker)) {
        next = std::min(next, worker.next_hold);
    }
    if (worker.is_draining && !worker.is_lost && !worker.runs.empty()) {
        next = std::min(next, now + leaving_check_interval);
    }
    if (!worker.runs.empty() && worker.lease_end > now) {
        next = std::min(next, worker.lease_end);
    }
    const auto max_lease_end = worker.granted_at + get_lease_span(m_settings.max_lease);
    if (!worker.runs.empty() && max_lease_end > now) {
        next = std::min(next, max_lease_end);
    }
    return next;
}

void dispatcher::evacuate(worker_state& worker, time_point now) {
    const auto left = worker.leaves_at - now;
    for (const auto& [key, run] : worker.runs) {
        auto& track = *run;
        if (track.is_stop_wanted || track.is_ending || track.stage != run_stage::running) {
            continue;
        }
        const auto& spec = track.get_spec();
        if (spec.long_running) {
            stop_run(track, now);
            continue;
        }
        const auto age = now - track.confirmed_at;
        const auto percent = std::max<std::int64_t>(track.percent, 1);
        const auto expected = track.percent > 0
                                  ? age * (100 - percent) / percent
                                  : std::max(duration{milliseconds{spec.estimate_ms}} - age, duration{0});
        const bool ends_in_time = expected < left;
        const bool may_wait = spec.checkpointing && left > m_settings.stop_limit + leave_slack;
        if (!ends_in_time && !may_wait) {
            stop_run(track, now);
        }
    }
}

} // namespace poplarpitch
