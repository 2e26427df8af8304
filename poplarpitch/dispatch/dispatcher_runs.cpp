// Lifecycle of runs: starts, stops, ends.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/core/text.h"
#include "poplarpitch/dispatch/history_log.h"
#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration unsent_pause = milliseconds{20}; // before an order that could not be sent is tried again

} // namespace

run_track& dispatcher::add_track(const run_key& key, std::shared_ptr<const step_job> job,
                                 const worker_incarnation& worker, run_stage stage, isolation_level isolation,
                                 time_point now) {
    auto& track = m_tracks[key];
    track.key = key;
    track.job = std::move(job);
    track.assigned_to = worker;
    track.stage = stage;
    track.idle_since = now; // an adopted run may have existed until now
    track.assigned_at = now;
    track.isolation = isolation;
    auto& state = get_or_add_worker(worker, now);
    track.host = &state;
    count_run(state, track, 1);
    if (const auto job = m_jobs.find(key.task.step.job); job != m_jobs.end()) {
        job->second.idle_time += now - get_idle_since(job->second, now);
        job->second.idle_since = now;
        job->second.runs.emplace(key, &track);
    }
    if (track.get_spec().is_filling || track.get_spec().is_serving()) {
        track.image = m_pressure.get_image_number(track.get_spec().image);
        refresh_pressure(state);
    }
    return track;
}

void dispatcher::drop_track(const run_key& key, time_point worked_until) {
    const auto found = m_tracks.find(key);
    if (found == m_tracks.end()) {
        return;
    }
    if (const auto job = m_jobs.find(key.task.step.job); job != m_jobs.end()) {
        job->second.runs.erase(key);
        job->second.idle_since = std::max(job->second.idle_since, worked_until);
    }
    const bool affects_pressure =
        found->second.get_spec().is_filling || found->second.get_spec().is_serving();
    auto& worker = *found->second.host;
    count_run(worker, found->second, -1);
    m_tracks.erase(found);
    if (affects_pressure) {
        refresh_pressure(worker);
    }
}

run_track* dispatcher::find(const run_key& key) {
    const auto found = m_tracks.find(key);
    return found == m_tracks.end() ? nullptr : &found->second;
}

const run_track* dispatcher::find_track(const run_key& key) const {
    const auto found = m_tracks.find(key);
    return found == m_tracks.end() ? nullptr : &found->second;
}

void dispatcher::propose_end(run_track& track, run_end end, const end_evidence& evidence, time_point now,
                             const std::string& checkpoint, const run_loss& loss) {
    if (track.is_ending) {
        return;
    }
    if (track.stage == run_stage::adopting) {
        log_run_taken_over(track, get_end_reason_name(evidence.reason), m_term);
    }
    track.evidence = evidence;
    track.is_ending = true;
    track.ending_since = now;
    job_wire::job_command command;
    auto& message = *command.mutable_end();
    encode(track.key.task, *message.mutable_task());
    message.set_run(track.key.run);
    message.set_worker(track.assigned_to.id);
    message.set_born_ms(track.assigned_to.process_start_ms);
    const bool is_counted_already = end == run_end::failed && !claim_attempt(track);
    message.set_kind(static_cast<std::uint32_t>(is_counted_already ? run_end::gang_broken : end));
    if (is_counted_already) {
        message.set_listed_kind(static_cast<std::uint32_t>(end));
    }
    if (is_utf8(checkpoint)) {
        message.set_saved(checkpoint);
    } else { // the task resumes from the checkpoint before
        auto line = log_event(log_level::warn, "checkpoint_unreadable");
        add_run(line, track.key);
        add_worker(line, track.assigned_to).add("bytes", static_cast<std::uint64_t>(checkpoint.size()));
    }
    message.set_number(evidence.number);
    message.set_crash(static_cast<std::uint32_t>(loss.crash));
    message.set_age_ms(loss.age_ms);
    m_commands.push_back(std::move(command));
}

bool dispatcher::claim_attempt(const run_track& track) {
    const auto& spec = track.get_spec();
    if (!spec.gang || spec.long_running) {
        return true;
    }
    const auto& key = track.key.task.step;
    const auto* record = m_job_state.find_job(key.job);
    const auto* step = record == nullptr ? nullptr : record->find_step(key.occurrence, key.step);
    return m_attempts.claim_gang_attempt(track.key, step == nullptr ? 0 : step->last_failed_run);
}

// ---- orders

order_target dispatcher::make_target(const worker_state& worker, duration timeout) const {
    const bool use_new_connection = worker.hold_failures == 1 || worker.backoff.has_just_failed();
    return {worker.report.incarnation, worker.report.address, worker.fence, use_new_connection, timeout};
}

void dispatcher::send_due_order(run_track& track, time_point now) {
    const bool has_stop = track.is_stop_wanted && !track.is_stop_answered;
    const bool has_start = track.stage == run_stage::starting && !track.is_stop_wanted;
    if (track.is_ending || track.is_order_pending || (!has_stop && !has_start)) {
        return;
    }
    if (track.host->backoff.is_closed(now)) {
        track.next_order = track.host->backoff.get_next();
    } else {
        track.next_order = now + unsent_pause;
        has_stop ? send_stop(track, now) : send_start(track, now);
    }
    if (!track.is_order_pending) {
        schedule_order(track);
    }
}

void dispatcher::schedule_order(const run_track& track) {
    m_scheduled_orders.push({track.next_order, track.key});
}

void dispatcher::send_scheduled_orders(time_point now) {
    while (!m_scheduled_orders.empty() && m_scheduled_orders.top().when <= now) {
        auto* track = find(m_scheduled_orders.top().run);
        m_scheduled_orders.pop();
        if (track == nullptr || track->next_order > now) {
            continue; // it has ended, or is scheduled for a later time
        }
        send_due_order(*track, now);
    }
}

void dispatcher::send_start(run_track& track, time_point now) {
    auto& worker = *track.host;
    if (!worker.has_report || worker.clock_ms == 0 || !worker.is_confirmed) {
        return; // retried until it can be sent or the run's lease expires
    }
    const bool may_start = !worker.is_draining && !worker.is_data_centre_drained;
    if (!may_start) { // ordered or announced after the task was assigned
        return_to_queue(track, now);
        return;
    }
    // The worker's free room may have shrunk since the assignment, or since a start without an answer was
    // sent.
    if (now > worker.room_known_until) {
        return_to_queue(track, now); // other workers may have reported their room
        return;
    }
    if (!worker.report.capacity.holds(worker.reserved)) {
        return_to_queue(track, now);
        return;
    }
    if (worker.is_silent()) {
        return;
    }
    std::string ticket;
    if (track.job->queue.advice.has_value()) {
        ticket = find_ticket(track.key.task.step, worker.report.incarnation, now);
        if (ticket.empty()) { // the ticket expired meanwhile; a new one may be granted
            on_start_refused(track, order_failure::no_ticket, now);
            return;
        }
    }
    const auto lease_end_ms = get_lease_for_start(worker, now);
    if (!lease_end_ms.has_value()) {
        return;
    }
    const auto* task = m_job_state.find_task(track.key.task);
    start_order order;
    order.ticket = ticket;
    order.target = make_target(worker, m_settings.order_timeout);
    order.run = track.key;
    order.job = track.job;
    order.lease_end_ms = *lease_end_ms;
    order.checkpoint = task == nullptr ? std::string{} : task->checkpoint;
    track.is_order_pending = true;
    track.start_sent = now;
    track.start_fence = worker.fence;
    ++track.starts;
    worker.backoff.on_sent(now, m_settings.order_timeout);
    m_orders.emplace_back(std::move(order));
}

void dispatcher::send_stop(run_track& track, time_point now) {
    auto& worker = *track.host;
    if (worker.report.address.empty() || worker.awaits_fence) {
        return; // retried until it can be sent or the run's lease expires
    }
    ++m_counts.stops;
    stop_order order;
    order.target = make_target(worker, m_settings.order_timeout);
    order.run = track.key;
    track.is_order_pending = true;
    worker.backoff.on_sent(now, m_settings.order_timeout);
    m_orders.emplace_back(std::move(order));
}

void dispatcher::stop_run(run_track& track, time_point now) {
    if (track.is_stop_wanted) {
        return;
    }
    track.is_stop_wanted = true;
    if (track.stage != run_stage::committing) {
        // A start in flight does not matter to this incarnation of the worker: a run that is stopped before
        // it has started never starts. The start may still reach the next incarnation.
        if (track.may_yet_start()) {
            expect_late_start(track);
        }
        track.is_order_pending = false;
        send_due_order(track, now);
    }
}

/// A relay drops an order that has waited for its timeout, and gives up one that it has sent after as long
/// again.
void dispatcher::expect_late_start(run_track& track) const {
    track.may_start_late = true;
    track.late_start_until = track.start_sent + 2 * m_settings.order_timeout + m_settings.lease_margin;
}

void dispatcher::retry_delayed_orders(worker_state& worker, time_point now) {
    if (!worker.backoff.on_answer()) {
        return;
    }
    for (const auto& [key, track] : worker.runs) { // orders that waited for this answer
        track->next_order = std::min(track->next_order, now);
        schedule_order(*track);
    }
}

void dispatcher::handle_order_answer(run_track& track, const order_answer& answer, time_point now) {
    track.is_order_pending = false;
    auto& worker = *track.host;
    if (answer.failure == order_failure::not_sent) {
        ++m_counts.not_sent;
        track.next_order = now + get_backoff(1, m_settings.retry_pause, worker.worker_hash);
        schedule_order(track);
        return;
    }
    const bool has_answered = !answer.failure.has_value() || (answer.failure != order_failure::unanswered &&
                                                              answer.failure != order_failure::unreachable);
    if (has_answered) {
        retry_delayed_orders(worker, now);
        return;
    }
    ++m_counts.unanswered;
    worker.backoff.on_failure(now, m_settings.retry_pause, worker.worker_hash);
    track.next_order = worker.backoff.get_next();
    schedule_order(track);
    schedule_hold(worker, now);
}

void dispatcher::on_start(const run_key& key, const order_answer& answer, time_point now) {
    auto* track = find(key);
    if (track == nullptr || !is_leading() || track->stage != run_stage::starting) {
        return;
    }
    if (track->is_stop_wanted) {
        return; // the answer to the stop determines how the run ends
    }
    handle_order_answer(*track, answer, now);
    check_clock_reset(*track->host, answer.clock_ms, track->start_sent, now);
    if (!answer.failure.has_value()) {
        ++m_counts.started;
        track->stage = run_stage::running;
        track->confirmed_at = now;
        track->listed_at = now;
        track->has_known_start = true;
        record_first_start(key.task.step.job, now);
        log_run_started(*track, "answered", m_term, now);
        return;
    }
    on_start_refused(*track, *answer.failure, now);
}

void dispatcher::on_start_refused(run_track& track, order_failure failure, time_point now) {
    auto& worker = *track.host;
    {
        auto event = log_event(log_level::warn, "start_refused");
        add_run(event, track.key);
        add_worker(event, worker.report.incarnation)
            .add("reason", get_failure_name(failure))
            .add("fence", track.start_fence)
            .add("starts", static_cast<std::uint64_t>(track.starts));
    }
    switch (failure) {
    case order_failure::unanswered:
        expect_late_start(track);
        return; // retried; a start is idempotent
    case order_failure::not_sent:
        return; // retried
    case order_failure::unreachable:
        if (track.may_start_late) {
            return; // retried, since an earlier start of this run may have arrived
        }
        ++m_counts.refused_other;
        worker.is_hold_unanswered = true; // a worker without runs gets a hold only then
        worker.trust.on_refusal(now);
        log_set_aside(worker, "unreachable", now);
        break;
    case order_failure::lease_already_expired: // its clock is ahead of the estimate; the next list corrects
                                               // it
        track.next_order = now + unsent_pause;
        schedule_order(track);
        return;
    case order_failure::stale_run:
        // An earlier start of this run was executed and the run has ended. The worker's list shows how.
        log_run_started(track, "old_run", m_term, now);
        track.stage = run_stage::running;
        track.confirmed_at = now;
        track.listed_at = now;
        schedule_hold(worker, now);
        return;
    case order_failure::other_incarnation:
        on_worker_lost(worker, end_reason::another_incarnation_answers, now);
        return;
    case order_failure::no_capacity:
        ++m_counts.refused_room;
        worker.trust.on_refusal(now);
        log_set_aside(worker, "no_room", now);
        break;
    case order_failure::no_ticket:
        ++m_counts.refused_other;
        if (const auto found = m_advice.find(track.key.task.step); found != m_advice.end()) {
            found->second.drop(worker.report.incarnation);
        }
        break;
    case order_failure::unhealthy:
        ++m_counts.refused_other;
        worker.trust.on_refusal(now);
        log_set_aside(worker, "unhealthy", now);
        break;
    default:
        ++m_counts.refused_other;
        break;
    }
    schedule_hold(worker, now); // the worker's list shows which runs it has
    return_to_queue(track, now);
}

void dispatcher::return_to_queue(run_track& track, time_point now) {
    if (track.may_start_late) {
        stop_run(track, now); // once the worker has answered the stop, no earlier start is executed
        return;
    }
    propose_end(track, run_end::not_started, {end_reason::given_back, track.start_sent, 0}, now);
}

void dispatcher::on_stop(const run_key& key, const worker_incarnation& worker, const order_answer& answer,
                         time_point now) {
    auto* track = find(key);
    if (track == nullptr || !is_leading() || track->host->report.incarnation != worker) {
        return;
    }
    handle_order_answer(*track, answer, now);
    if (!answer.failure.has_value() || answer.failure == order_failure::stale_run) {
        track->is_stop_answered = true;
        track->stop_answered_at = now;
        if (!track->host->is_hold_pending) {
            schedule_hold(*track->host, now); // the list shows whether the run existed
        }
    } else if (answer.failure == order_failure::other_incarnation) {
        on_worker_lost(*track->host, end_reason::another_incarnation_answers, now);
    } else {
        track->next_order = std::max(track->next_order, now + m_settings.retry_pause);
        schedule_order(*track);
    }
}

} // namespace poplarpitch
