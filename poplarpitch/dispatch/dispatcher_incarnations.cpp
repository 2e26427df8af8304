// Determines which incarnation of a worker is alive, and ends or moves the runs assigned to earlier ones.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr auto started_again = end_reason::started_again;

} // namespace

worker_state& dispatcher::get_or_add_worker(const worker_incarnation& incarnation, time_point now) {
    if (auto* known = find_worker(incarnation); known != nullptr) {
        return *known;
    }
    const auto others = m_workers.find_other_incarnations(incarnation);
    const auto lost = m_lost_workers.lower_bound(worker_incarnation::first_key_of(incarnation.id));
    auto& worker = m_workers.get(incarnation);
    worker.known_since = now;
    worker.needs_fence = !others.empty() || (lost != m_lost_workers.end() && lost->id == incarnation.id);
    worker.fence = get_fence();
    if (worker.needs_fence) {
        assume_lease(worker, m_settings.max_lease,
                     now); // a lease for a former incarnation may have reached this one
    }
    // Until it has answered, this may be a late message of an even earlier incarnation. The live one must not
    // refuse orders that were sent to it before.
    if (!others.empty()) {
        const auto highest =
            std::max_element(others.begin(), others.end(),
                             [](const auto* left, const auto* right) { return left->fence < right->fence; });
        worker.fence = (*highest)->fence;
    }
    return worker;
}

bool dispatcher::is_stale(const worker_incarnation& incarnation) const {
    if (m_lost_workers.contains(incarnation)) {
        return true;
    }
    // The message comes from another writer, or from an instance whose version omits the start time.
    return incarnation.process_start_ms == 0 && !m_workers.find_other_incarnations(incarnation).empty();
}

/// Orders to former incarnations may still be in flight, for example in a relay that stalled. The next
/// incarnation would accept such starts, and such acknowledgements of ends that it has not reported, as its
/// own. Once it has seen a higher fence, it refuses all of them. The raise is committed before it is used, so
/// that no later leader uses the same fence.
void dispatcher::raise_fence(worker_state& worker, time_point now) {
    worker.awaits_fence = true;
    if (!m_is_raising_fence) {
        propose_fence_raise(now);
    }
}

void dispatcher::propose_fence_raise(time_point now) {
    m_is_raising_fence = true;
    m_fence_raise_proposed = now;
    job_wire::job_command command;
    command.mutable_raise_fence();
    m_commands.push_back(std::move(command));
}

void dispatcher::on_fence_raised(time_point now) {
    m_is_raising_fence = false;
    for (auto* worker : m_workers.get_all()) {
        if (!worker->awaits_fence) {
            continue;
        }
        worker->awaits_fence = false;
        worker->needs_fence = false;
        worker->fence = get_fence();
        worker->next_hold = now;
        m_workers.schedule_check(*worker, now);
    }
}

/// Incarnations follow one another, so the one that answered is later than any that was known before the hold
/// was sent.
void dispatcher::on_other_incarnation(worker_state& addressed, const worker_incarnation& answered,
                                      const hold_answer& answer, time_point now) {
    m_lost_workers.erase(answered);
    auto& worker = get_or_add_worker(answered, now);
    if (worker.report.address.empty()) {
        worker.report.address = addressed.report.address;
        worker.last_heartbeat = now;
    }
    if (!worker.has_report && addressed.has_report && addressed.report.incarnation.process_start_ms == 0) {
        worker.report = addressed.report; // a report without a start time may come from any incarnation
        worker.report.incarnation = answered;
        worker.has_report = true;
        update_drained(worker);
        update_room_expiry(worker);
    }
    worker.is_lost = false;
    end_former_incarnations(worker, addressed, answer, now);
    if (worker.needs_fence) {
        raise_fence(worker, now);
    }
}

void dispatcher::end_former_incarnations(worker_state& worker, const worker_state& addressed,
                                         const hold_answer& answer, time_point now) {
    const auto others = m_workers.find_other_incarnations(worker.report.incarnation);
    if (others.empty()) {
        return;
    }
    const auto listed = answer.get_listed_runs();
    for (auto* other : others) {
        // The addressed incarnation was known when the hold was sent, even if only since the same moment.
        const bool was_known = other == &addressed || other->known_since < addressed.hold_sent;
        if (!other->is_lost && was_known) {
            end_former_incarnation(*other, worker, {listed, addressed.hold_sent}, now);
        }
    }
}

void dispatcher::end_former_incarnation(worker_state& former, worker_state& successor,
                                        const requested_list& list, time_point now) {
    log_event(log_level::warn, "worker_started_again")
        .add("worker", successor.report.incarnation.id)
        .add("born_ms", successor.report.incarnation.process_start_ms)
        .add("former_born_ms", former.report.incarnation.process_start_ms)
        .add("runs", static_cast<std::uint64_t>(former.runs.size()))
        .add("seen", former.last_processed_end)
        .add("acknowledged", former.acknowledged_up_to);
    const auto assessed = assess_crash_evidence(former, now);
    mark_lost(former, get_end_reason_name(started_again), now);
    const bool is_surely_other = former.report.incarnation.process_start_ms != 0;
    for (const auto& run : assessed) {
        auto& track = *former.runs.at(run.run);
        const auto loss = is_surely_other ? run.loss : run_loss{};
        const bool is_listed = std::binary_search(list.runs.begin(), list.runs.end(), run.run);
        // The run's start may have reached the successor after the list was written.
        const bool is_newer = track.confirmed_at >= list.requested_at;
        if (track.may_yet_start() || is_listed || is_newer) {
            move_run(track, successor, loss, now);
        } else {
            mark_run_lost(track, started_again, loss, now);
        }
    }
}

/// The run's start reached the successor or may still reach it. The successor's list under its own fence
/// decides.
void dispatcher::move_run(run_track& track, worker_state& successor, const run_loss& loss, time_point now) {
    auto& former = *track.host;
    count_run(former, track, -1);
    track.host = &successor;
    track.stage = run_stage::adopting;
    track.loss_of_former_incarnation = loss;
    track.is_order_pending = false;
    track.is_confirmed = false;
    track.is_stop_answered = false; // only the former incarnation may have answered it
    track.stop_answered_at = {};
    track.next_order = now;
    schedule_order(track);
    count_run(successor, track, 1);
    refresh_pressure(former);
    refresh_pressure(successor);
    // The start's lease was computed for the former incarnation's clock. At the successor, only the maximum
    // lease length bounds its validity.
    assume_lease(successor, m_settings.max_lease, now);
}

/// The worker read its clock after the order was sent, and the answer may have taken long since then.
void dispatcher::check_clock_reset(worker_state& worker, std::int64_t clock_ms, time_point sent,
                                   time_point now) {
    const auto margin = to_milliseconds(m_settings.lease_margin);
    if (clock_ms == 0 || clock_ms + margin >= worker.estimate_clock(sent, m_settings.clock_drift)) {
        return;
    }
    assume_lease(worker, m_settings.max_lease, now);
    schedule_hold(worker, now);
}

} // namespace poplarpitch
