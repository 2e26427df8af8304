// State of workers: heartbeats, and holds. A hold is a long poll that renews a worker's lease, acknowledges
// the ends of runs that it reported, and returns the list of its runs.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/history_log.h"
#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {
namespace {

// Pause after a hold while the ends of runs that the worker listed are being committed. A hold that is sent
// before they are committed returns at once with the same ends. The pause is short, since leases have to be
// renewed even if the log makes no progress.
constexpr duration commit_hold_pause = milliseconds{500};
constexpr double hold_pause_growth_at_full_strain =
    5; // at full strain, this multiple of the pause is added to it; ends of runs then arrive in batches
constexpr duration hold_slack = milliseconds{800}; // added to the requested wait
// Minimum rest of a lease for a start. The next hold extends the lease; it is answered within 1.8 s, or the
// one after it within 2 s more.
constexpr duration min_start_lease = seconds{4};
constexpr int max_urgent_doublings = 1; // of the pause between holds while a lease is to be renewed

/// Returns the failure of a hold, or nothing. An answer without a start time is treated as no answer
/// when the worker's report has one, since it does not show which incarnation sent it.
std::optional<order_failure> get_hold_failure(const worker_state& worker, const order_outcome& outcome) {
    const bool omits_start_time =
        outcome.answer.process_start_ms == 0 && worker.report.incarnation.process_start_ms != 0;
    if (!outcome.failure.has_value() && omits_start_time) {
        return order_failure::unanswered;
    }
    return outcome.failure;
}

/// Returns true while a start of the run may reach the next incarnation of its worker, if that restarts now.
/// The run must not end before, since its task would be started elsewhere.
bool must_not_end_yet(const run_track& track, time_point now) {
    const bool may_restart = track.host->report.incarnation.process_start_ms != 0;
    return may_restart && now < track.late_start_until && !track.is_ending;
}

} // namespace

void dispatcher::schedule_hold(worker_state& worker, time_point when) {
    worker.next_hold = std::min(worker.next_hold, when);
    m_workers.schedule_check(worker, worker.next_hold);
}

void dispatcher::count_run(worker_state& worker, run_track& track, int sign) {
    const auto& spec = track.get_spec();
    const auto need = get_need(spec);
    if (sign > 0) {
        worker.runs.emplace(track.key, &track);
        m_workers.schedule_check(worker, worker.next_hold);
        worker.reserved += need;
        ++worker.step_counts[track.key.task.step];
    } else {
        worker.runs.erase(track.key);
        worker.reserved -= need;
        auto& count = worker.step_counts[track.key.task.step];
        if (--count == 0) {
            worker.step_counts.erase(track.key.task.step);
        }
    }
    worker.count_isolated(track.isolation, sign);
    if (spec.is_filling) {
        worker.filling_millicores += sign * spec.millicores;
        worker.filling_runs += static_cast<std::uint32_t>(sign);
    }
    if (!spec.is_filling && !spec.is_serving()) {
        worker.short_task_millicores += sign * spec.millicores;
    }
    if (spec.is_serving()) {
        worker.serving_runs += static_cast<std::uint32_t>(sign);
    }
}

// ---- heartbeats

bool dispatcher::on_heartbeat(const worker_report& report, time_point now) {
    if (!is_leading() || is_stale(report.incarnation)) {
        return false;
    }
    auto& worker = get_or_add_worker(report.incarnation, now);
    if (worker.has_report && report.sequence <= worker.report.sequence) {
        // An older heartbeat that arrived late. Its contents are ignored, but while the worker's draining is
        // not committed, it must also be answered only after the commit.
        return worker.is_draining && !m_job_state.is_retired(report.incarnation);
    }
    const bool is_new = !worker.has_report;
    worker.report = report;
    worker.report_sequence = report.sequence;
    worker.has_report = true;
    if (is_new) {
        worker.last_heartbeat = now;
    } else {
        worker.record_heartbeat(now);
    }
    update_drained(worker);
    update_room_expiry(worker);
    update_clock(worker, report.clock_ms, now);
    if (is_new) {
        worker.next_hold = worker.runs.empty() ? m_first_holds.reserve(now) : now;
        m_workers.schedule_check(worker, worker.next_hold);
        auto line = log_event(log_level::info, "worker_seen");
        add_worker(line, report.incarnation)
            .add("address", report.address)
            .add("pool", report.pool)
            .add("rack", report.rack)
            .add("millicores", report.capacity.millicores)
            .add("memory_mb", report.capacity.memory_mb);
        for (const auto& incarnation : m_workers.add_address(worker)) {
            if (auto* other = find_worker(incarnation); other != nullptr && other != &worker) {
                schedule_hold(*other, now); // the answer shows which of the two is alive
            }
        }
    }
    const bool is_draining = report.is_draining || m_job_state.is_retired(report.incarnation);
    if (is_draining && !worker.is_draining) {
        worker.is_draining = true;
        worker.leaves_at = now + milliseconds{report.remaining_ms};
        auto line = log_event(log_level::info, "worker_leaving");
        add_worker(line, report.incarnation)
            .add("remaining_ms", report.remaining_ms)
            .add("runs", static_cast<std::uint64_t>(worker.runs.size()));
        evacuate(worker, now);
        m_workers.schedule_check(worker, now);
    }
    return is_draining && !m_job_state.is_retired(report.incarnation);
}

/// A relay replaces a heartbeat whose contents have not changed by an unchanged report. Heartbeats of one
/// worker may arrive through several relays. Each relay compares them with the reports that it has sent
/// itself, and these may have been lost. Every unchanged report therefore names the full report that it
/// refers to.
bool dispatcher::on_unchanged_report(const unchanged_report& report, time_point now) {
    if (!is_leading() || is_stale(report.worker)) {
        return true;
    }
    auto* worker = find_worker(report.worker);
    if (worker == nullptr || !worker->has_report) {
        return false;
    }
    if (report.sequence <= worker->report.sequence) {
        return true; // a later heartbeat arrived before it
    }
    if (report.full_report_sequence != worker->report_sequence) {
        return false;
    }
    worker->report.sequence = report.sequence;
    worker->record_heartbeat(now);
    update_room_expiry(*worker);
    update_clock(*worker, report.clock_ms, now);
    return true;
}

void dispatcher::update_room_expiry(worker_state& worker) const {
    const auto* pool = m_job_state.get_configuration().find_pool(worker.report.pool);
    const bool guards_room = pool == nullptr || pool->enforces_capacity;
    worker.room_known_until =
        guards_room ? time_point::max() : worker.last_heartbeat + m_settings.max_capacity_age;
}

void dispatcher::update_clock(worker_state& worker, std::int64_t clock_ms, time_point now) const {
    if (worker.clock_ms == 0 || clock_ms > worker.estimate_clock(now, m_settings.clock_drift)) {
        worker.clock_ms = clock_ms;
        worker.clock_at = now;
    }
}

void dispatcher::on_deregister(const worker_incarnation& incarnation, time_point now) {
    if (!is_leading() || is_stale(incarnation)) {
        return;
    }
    auto* worker = find_worker(incarnation);
    if (worker == nullptr) {
        return;
    }
    auto line = log_event(log_level::info, "worker_deregistered");
    add_worker(line, incarnation).add("runs", static_cast<std::uint64_t>(worker->runs.size()));
    worker->is_draining = true;
    worker->leaves_at = now;
    worker->next_hold = now; // the answer to the hold, or the lack of one, shows when the worker has ended
    m_workers.schedule_check(*worker, now);
}

// ---- holds

bool dispatcher::needs_hold(const worker_state& worker) const {
    if (worker.report.address.empty() || worker.is_lost || worker.is_hold_pending || worker.awaits_fence) {
        return false;
    }
    return !worker.is_confirmed || !worker.runs.empty() || worker.has_stray_runs ||
           worker.acknowledged_up_to > worker.acknowledged_sent || worker.is_hold_unanswered;
}

std::int64_t dispatcher::extend_lease(worker_state& worker, time_point now) {
    worker.granted_until_ms =
        worker.estimate_clock(now, m_settings.clock_drift) + to_milliseconds(m_settings.lease);
    assume_lease(worker, m_settings.lease, now);
    record_lease_sent(worker, now);
    return worker.granted_until_ms;
}

/// A start renews the lease of all runs on its worker. A worker that vanishes while starts are sent to it
/// would keep its lease for longer, so a start repeats the end of the lease that the last hold granted. Only
/// where too little is left of that, as at a worker without runs, it extends the lease.
std::optional<std::int64_t> dispatcher::get_lease_for_start(worker_state& worker, time_point now) {
    const auto left =
        milliseconds{worker.granted_until_ms - worker.estimate_clock(now, m_settings.clock_drift)};
    // More than the full lease is left only if the worker's clock was reset.
    if (left >= min_start_lease && left <= m_settings.lease) {
        record_lease_sent(worker, now);
        return worker.granted_until_ms;
    }
    if (worker.is_hold_unanswered) {
        return std::nullopt;
    }
    return extend_lease(worker, now);
}

void dispatcher::record_lease_sent(worker_state& worker, time_point now) {
    worker.granted_at = now;
    // Another incarnation with the same worker id may receive the grant and apply it to its own clock.
    for (auto* other : m_workers.find_other_incarnations(worker.report.incarnation)) {
        assume_lease(*other, m_settings.max_lease, now);
    }
}

void dispatcher::assume_lease(worker_state& worker, duration lease, time_point now) const {
    worker.lease_end = std::max(worker.lease_end, now + get_lease_span(lease));
}

duration dispatcher::get_lease_span(duration lease) const {
    return std::chrono::duration_cast<duration>(lease * (1 + m_settings.clock_drift)) +
           m_settings.lease_margin;
}

/// On a worker with both serving and filling tasks, the wait is shorter, only so that the pace of the filling
/// tasks can be adjusted sooner. It is therefore lengthened, unlike that of other workers, when the leader's
/// thread is overloaded.
duration dispatcher::get_hold_wait(const worker_state& worker) const {
    const bool is_mixed = worker.serving_runs > 0 && worker.filling_runs > 0;
    if (!is_mixed) {
        return m_settings.hold_wait;
    }
    const auto longer = m_settings.hold_wait - m_settings.mixed_hold_wait;
    return m_settings.mixed_hold_wait + std::chrono::duration_cast<duration>(longer * m_load.get_strain());
}

/// A partition that ends shortly before the leases do must not cost the runs behind it. As long as there is a
/// lease to renew, unanswered holds are therefore repeated without long pauses. A refused connection costs
/// its sender a new one each time and tells that no process listens, so the pause grows as usual.
duration dispatcher::get_hold_backoff(const worker_state& worker, order_failure failure,
                                      time_point now) const {
    const bool has_lease = !worker.runs.empty() && now < worker.lease_end;
    const bool is_urgent = has_lease && failure == order_failure::unanswered;
    const int failures =
        is_urgent ? std::min(worker.hold_failures, max_urgent_doublings + 1) : worker.hold_failures;
    return get_backoff(static_cast<std::uint32_t>(failures), m_settings.retry_pause, worker.worker_hash);
}

void dispatcher::send_hold(worker_state& worker, time_point now) {
    hold_order order;
    const bool has_runs = !worker.runs.empty() && worker.is_confirmed;
    if (has_runs && worker.hold_failures == 0 && worker.ends_being_committed == 0) {
        order.wait = get_hold_wait(worker);
    }
    order.target = make_target(worker, order.wait + hold_slack);
    order.acknowledged_up_to = worker.acknowledged_up_to;
    // A worker that receives our orders while its answers are lost must not keep its lease, since its runs
    // could then never be given up. Each extension without an answer would also delay the restart of the runs
    // of a lost worker. Nor is a lease renewed for runs that should not be on the worker.
    const bool has_only_strays = worker.has_stray_runs && worker.runs.empty();
    if (!worker.is_hold_unanswered && worker.clock_ms != 0 && !has_only_strays) {
        order.lease_end_ms = extend_lease(worker, now);
    }
    worker.is_hold_pending = true;
    worker.hold_sent = now;
    worker.hold_fence = worker.fence;
    worker.hold_expires_at = now + order.target.timeout;
    worker.hold_wait = order.wait;
    worker.acknowledged_sent = std::max(worker.acknowledged_sent, worker.acknowledged_up_to);
    ++m_counts.hold_orders;
    m_orders.emplace_back(std::move(order));
}

void dispatcher::on_hold(const worker_incarnation& incarnation, const order_outcome& outcome,
                         time_point now) {
    auto* worker = find_worker(incarnation);
    if (worker == nullptr || !is_leading() || !worker->is_hold_pending) {
        return;
    }
    worker->is_hold_pending = false;
    m_workers.schedule_check(
        *worker,
        now); // checked after this call, when the orders that follow from this answer are known
    if (worker->is_lost) {
        return;
    }
    const auto failure = get_hold_failure(*worker, outcome);
    worker->is_hold_unanswered = failure.has_value();
    if (failure.has_value()) {
        if (failure == order_failure::other_incarnation) {
            on_worker_lost(*worker, end_reason::another_incarnation_answers, now);
            return;
        }
        worker->acknowledged_sent = 0;            // the last acknowledgement may have been lost
        if (failure == order_failure::not_sent) { // this says nothing about the worker
            ++m_counts.not_sent;
            worker->next_hold = now + get_backoff(1, m_settings.retry_pause, worker->worker_hash);
            return;
        }
        if (failure == order_failure::lower_fence) {
            worker->fence = get_fence();
        }
        worker->record_hold_failure(*failure, now);
        worker->next_hold = now + get_hold_backoff(*worker, *failure, now);
        if (worker->hold_failures == silent_after_failures) {
            auto line = log_event(log_level::warn, "worker_silent");
            add_worker(line, incarnation)
                .add("reason", get_failure_name(*failure))
                .add("runs", static_cast<std::uint64_t>(worker->runs.size()))
                .add("lease_left_ms", to_milliseconds(worker->lease_end - now));
        }
        return;
    }
    const worker_incarnation answered{incarnation.id, outcome.answer.process_start_ms};
    if (answered != incarnation) {
        on_other_incarnation(*worker, answered, outcome.answer, now);
        return;
    }
    if (worker->is_silent()) {
        auto line = log_event(log_level::info, "worker_heard_again");
        add_worker(line, incarnation);
    }
    worker->lapsed_runs.clear(); // the worker was unreachable and has not crashed
    worker->hold_failures = 0;
    retry_delayed_orders(*worker, now);
    if (outcome.answer.clock_ms > 0) {
        worker->clock_ms = outcome.answer.clock_ms;
        worker->clock_at = now;
    }
    end_former_incarnations(*worker, *worker, outcome.answer, now);
    if (worker->needs_fence) {
        raise_fence(*worker, now);
        return;
    }
    if (worker->hold_fence < worker->fence) { // orders under the lower fence may still arrive
        schedule_hold(*worker, now);
        return;
    }
    const bool has_all_ends = process_run_list(*worker, outcome.answer, now);
    const bool was_confirmed = worker->is_confirmed;
    worker->is_confirmed = true;
    if (!was_confirmed) {
        m_must_place = true;
    }
    const auto regular_pause = std::chrono::duration_cast<duration>(
        m_settings.hold_pause * (1 + hold_pause_growth_at_full_strain * m_load.get_strain()));
    const bool has_open_ends = worker->ends_being_committed > 0 || !has_all_ends;
    const auto pause = has_open_ends            ? commit_hold_pause
                       : worker->has_stray_runs ? m_settings.retry_pause
                                                : regular_pause;
    worker->next_hold = std::max(worker->next_hold, now + pause);
}

bool dispatcher::process_run_list(worker_state& worker, const hold_answer& answer, time_point now) {
    worker.listed_at = now;
    worker.has_stray_runs = false;
    for (const auto& row : answer.running) {
        auto* track = find(row.run);
        if (track == nullptr || track->host != &worker) {
            worker.has_stray_runs = true; // until a list shows that the stop was executed
            stop_stray_run(worker, row.run);
            continue;
        }
        if (track->stage == run_stage::committing) {
            continue; // cannot happen: no start was sent
        }
        if (track->stage != run_stage::running) {
            if (track->stage == run_stage::adopting) {
                log_run_taken_over(*track, "running", m_term);
            } else {
                log_run_started(*track, "listed", m_term, now);
            }
            track->stage = run_stage::running;
            track->confirmed_at = now;
            record_first_start(row.run.task.step.job, now);
        }
        propose_confirmation(*track);
        track->listed_at = now;
        track->loss_of_former_incarnation.reset();
        observe_progress(*track, row.percent, false, now);
        track->percent = row.percent;
        track->level = row.level;
    }
    const bool has_all_ends = process_ends(worker, answer, now);
    if (answer.ended.size() < max_ended_rows) {
        end_missing_runs(worker, answer.get_listed_runs(), now);
    }
    update_acknowledged(worker);
    clear_suspects(worker, now);
    observe_pressure(worker, now);
    return has_all_ends;
}

/// Ends are acknowledged up to a sequence number, so they are processed in order and none may be skipped. The
/// worker lists those again that are not acknowledged.
bool dispatcher::process_ends(worker_state& worker, const hold_answer& answer, time_point now) {
    auto ended = answer.ended;
    std::sort(ended.begin(), ended.end());
    for (const auto& row : ended) {
        const auto* track = find_track(row.run);
        if (track != nullptr && track->host == &worker && must_not_end_yet(*track, now)) {
            return false;
        }
        process_end(worker, row, now);
    }
    return true;
}

/// Only workers that report start times have incarnations that a new leader has to tell apart. A start that
/// an earlier leader sent may be unanswered, so only a run that this leader started can be confirmed.
void dispatcher::propose_confirmation(run_track& track) {
    const auto& incarnation = track.host->report.incarnation;
    const bool matters = track.get_spec().long_running && incarnation.process_start_ms != 0;
    const bool is_known = track.has_known_start && !track.may_yet_start() && incarnation == track.assigned_to;
    if (!matters || !is_known || track.is_confirmed) {
        return;
    }
    track.is_confirmed = true;
    job_wire::job_command command;
    auto& message = *command.mutable_confirm();
    encode(track.key.task, *message.mutable_task());
    message.set_run(track.key.run);
    message.set_worker(incarnation.id);
    message.set_born_ms(incarnation.process_start_ms);
    m_commands.push_back(std::move(command));
}

void dispatcher::process_end(worker_state& worker, const run_end_entry& row, time_point now) {
    auto* track = find(row.run);
    if (row.number <= worker.acknowledged_up_to) {
        worker.acknowledged_sent = 0; // the worker has not received the acknowledgement yet
    }
    if (row.number <= worker.last_processed_end) {
        if (track != nullptr && !track->is_ending) {
            auto line = log_event(log_level::warn, "end_passed_over");
            add_run(line, row.run);
            add_worker(line, worker.report.incarnation)
                .add("end", get_end_name(row.end))
                .add("number", row.number)
                .add("seen", worker.last_processed_end);
        }
        return;
    }
    worker.last_processed_end = row.number;
    if (track == nullptr || track->host != &worker || track->is_ending) {
        log_unknown_end(worker, track, row);
        return; // the run was assigned by an earlier leader, or was given up before
    }
    if (row.end == run_end::done) {
        worker.trust.on_success();
        observe_progress(*track, 100, true, now);
    }
    if (row.end == run_end::failed) {
        const bool was_set_aside = worker.trust.is_set_aside(now);
        worker.trust.on_failure(row.run.task.step.job, now);
        if (!was_set_aside) {
            log_set_aside(worker, "failed_run", now);
        }
    }
    ++worker.ends_being_committed;
    const bool has_known_age = track->confirmed_at != time_point{};
    propose_end(*track, row.end, {end_reason::listed_end, worker.hold_sent, row.number}, now, row.checkpoint,
                {crash_evidence::none, has_known_age ? to_milliseconds(now - track->confirmed_at) : 0});
}

void dispatcher::end_missing_runs(worker_state& worker, const std::vector<run_key>& listed, time_point now) {
    for (const auto& [key, run] : worker.runs) {
        auto& track = *run;
        if (track.is_ending || std::binary_search(listed.begin(), listed.end(), key) ||
            must_not_end_yet(track, now)) {
            continue;
        }
        // A run that is still `adopting` can no longer start: the worker has this leader's fence, so it
        // refuses a late start of an earlier leader.
        const bool never_came = track.stage == run_stage::adopting;
        const bool was_there = track.stage == run_stage::running && track.confirmed_at != time_point{} &&
                               track.confirmed_at < worker.hold_sent;
        const bool was_stopped = track.is_stop_answered && track.stop_answered_at < worker.hold_sent;
        if (never_came || was_there || was_stopped) {
            auto line = log_event(log_level::info, "run_not_listed", log_class::history);
            add_run(line, key);
            add_worker(line, worker.report.incarnation)
                .add("seen", worker.last_processed_end)
                .add("told", worker.acknowledged_sent)
                .add("was_there", was_there ? "yes" : "no");
            const auto reason_if_started = was_there ? end_reason::not_listed : end_reason::stop_answered;
            const end_evidence evidence{never_came ? end_reason::never_came : reason_if_started,
                                        worker.hold_sent, 0};
            if (track.loss_of_former_incarnation.has_value()) {
                propose_end(track, run_end::lost, evidence, now, {}, *track.loss_of_former_incarnation);
            } else {
                propose_end(track, run_end::not_started, evidence, now);
            }
        }
    }
}

void dispatcher::stop_stray_run(worker_state& worker, const run_key& key) {
    log_event(log_level::warn, "stray_run_stopped")
        .add("job", format_job_id(key.task.step.job))
        .add("task", static_cast<std::uint64_t>(key.task.index))
        .add("run", static_cast<std::uint64_t>(key.run))
        .add("worker", worker.report.incarnation.id);
    ++m_counts.stops;
    stop_order order;
    order.target = make_target(worker, m_settings.order_timeout);
    order.run = key;
    m_orders.emplace_back(std::move(order));
}

void dispatcher::update_acknowledged(worker_state& worker) {
    if (worker.ends_being_committed == 0) {
        worker.acknowledged_up_to = std::max(worker.acknowledged_up_to, worker.last_processed_end);
        m_workers.schedule_check(worker, worker.next_hold);
    }
}

} // namespace poplarpitch
