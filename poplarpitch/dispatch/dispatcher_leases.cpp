// Suspended leases: what the log tells a new leader of the leases that earlier leaders granted.
//
// A new leader cannot know when its predecessors granted the last lease to a worker that does not answer, and
// must assume that it was just now. Over several changes of the leader, these waits would add up. A leader
// therefore commits that it grants no lease to a silent worker. Every instance notes when it applied that
// entry, which is not before it was proposed, so the end that it reckons from it is not too early either.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {

void dispatcher::propose_suspension(worker_state& worker, time_point now) {
    worker.granting = lease_granting::suspending;
    job_wire::job_command command;
    auto& message = *command.mutable_suspend_lease();
    message.set_worker(worker.report.incarnation.id);
    message.set_born_ms(worker.report.incarnation.process_start_ms);
    message.set_age_ms(to_milliseconds(now - worker.granted_at));
    message.set_left_ms(to_milliseconds(worker.lease_end - now) + 1); // rounded up
    m_commands.push_back(std::move(command));
}

void dispatcher::propose_resumption(worker_state& worker) {
    worker.granting = lease_granting::resuming;
    propose_resumption(worker.report.incarnation);
}

void dispatcher::propose_resumption(const worker_incarnation& worker) {
    job_wire::job_command command;
    auto& message = *command.mutable_suspend_lease();
    message.set_worker(worker.id);
    message.set_born_ms(worker.process_start_ms);
    message.set_undo(true);
    m_commands.push_back(std::move(command));
}

void dispatcher::on_lease_suspended(const job_state_event& event, time_point now) {
    m_suspensions[event.worker] = {now + milliseconds{event.lease_left_ms}, now - milliseconds{event.age_ms}};
    auto* worker = is_leading() ? find_worker(event.worker) : nullptr;
    if (worker == nullptr) {
        return;
    }
    worker->granting = lease_granting::suspended;
    if (!worker->is_hold_unanswered) { // it has answered meanwhile
        propose_resumption(*worker);
    }
}

void dispatcher::on_lease_resumed(const worker_incarnation& incarnation, time_point now) {
    m_suspensions.erase(incarnation);
    auto* worker = is_leading() ? find_worker(incarnation) : nullptr;
    if (worker != nullptr) {
        worker->granting = lease_granting::allowed;
        schedule_hold(*worker, now);
    }
}

void dispatcher::adopt_lease(worker_state& worker, time_point now) {
    const auto& incarnation = worker.report.incarnation;
    const bool is_suspended = m_job_state.is_lease_suspended(incarnation);
    worker.granting = is_suspended ? lease_granting::suspended : lease_granting::allowed;
    const auto known = m_suspensions.find(incarnation);
    if (!is_suspended || known == m_suspensions.end()) { // or it was applied before this process started
        assume_lease(worker, m_settings.lease, now);
        record_lease_sent(worker, now);
        return;
    }
    worker.lease_end = std::max(worker.lease_end, known->second.lease_end);
    record_lease_sent(worker, known->second.granted_at);
}

/// Suspensions of workers that have no runs any more would stay in the replicated state for good.
void dispatcher::resume_unused_leases() {
    for (const auto& incarnation : m_job_state.get_suspended_leases()) {
        if (find_worker(incarnation) == nullptr) {
            propose_resumption(incarnation);
        }
    }
}

} // namespace poplarpitch
