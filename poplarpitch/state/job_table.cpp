#include "poplarpitch/state/job_table.h"

#include <algorithm>
#include <vector>

namespace poplarpitch {

bool is_ended(wire::job_state state) {
    return state != wire::job_queued && state != wire::job_assigned && state != wire::job_running;
}

bool is_active(wire::job_state state) {
    return state == wire::job_assigned || state == wire::job_running;
}

job_table::job_table(const state_rules& rules, std::size_t max_jobs) : m_rules(rules), m_max_jobs(max_jobs) {}

// ---- indexes

wire::job* job_table::find_mutable(const std::string& id) {
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const wire::job* job_table::find(const std::string& id) const {
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void job_table::unlink(const wire::job& record) {
    auto& usage = m_usage[record.tenant()];
    if (record.state() == wire::job_queued) {
        auto& queue = m_queued[record.tenant()];
        queue.erase({!record.urgent(), record.submitted_ms(), record.id()});
        if (queue.empty()) {
            m_queued.erase(record.tenant());
        }
        --m_queued_count;
    }
    if (is_active(record.state())) {
        const auto found = m_by_worker.find(record.worker());
        if (found != m_by_worker.end()) {
            found->second.erase(record.id());
            if (found->second.empty()) {
                m_by_worker.erase(found);
            }
        }
        m_lost.erase(record.id());
        --m_active_count;
        usage.active_millicores -= record.need().millicores();
        usage.active_accelerators -= record.need().accelerators();
    }
    if (is_ended(record.state())) {
        m_ended.erase({record.ended_ms(), record.id()});
    } else {
        --usage.open_jobs;
    }
}

void job_table::link(const wire::job& record) {
    auto& usage = m_usage[record.tenant()];
    if (record.state() == wire::job_queued) {
        m_queued[record.tenant()].insert({!record.urgent(), record.submitted_ms(), record.id()});
        ++m_queued_count;
    }
    if (is_active(record.state())) {
        m_by_worker[record.worker()].insert(record.id());
        if (record.lost()) {
            m_lost.insert(record.id());
        }
        ++m_active_count;
        usage.active_millicores += record.need().millicores();
        usage.active_accelerators += record.need().accelerators();
    }
    if (is_ended(record.state())) {
        m_ended.insert({record.ended_ms(), record.id()});
    } else {
        ++usage.open_jobs;
    }
}

// ---- commands

std::error_code job_table::submit(const wire::job& submitted, std::int64_t tenant_limit, log_index index) {
    const auto* existing = find(submitted.id());
    if (existing != nullptr) {
        const bool is_same = existing->request_hash() == submitted.request_hash();
        return is_same ? std::error_code{} : make_error_code(state_errc::conflicting_job);
    }
    if (get_usage(submitted.tenant()).open_jobs >= tenant_limit || m_jobs.size() >= m_max_jobs) {
        return state_errc::over_quota;
    }
    auto record = submitted;
    record.set_state(wire::job_queued);
    record.set_attempt(0);
    record.set_changed_index(index);
    link(record);
    m_ids.insert(record.id());
    m_jobs.emplace(record.id(), std::move(record));
    return {};
}

std::error_code job_table::assign(const wire::assign_job& command, std::uint64_t incarnation,
                                  log_index index) {
    auto* record = find_mutable(command.job());
    if (record == nullptr) {
        return state_errc::unknown_job;
    }
    if (record->state() != wire::job_queued || command.attempt() != record->attempt() + 1) {
        return state_errc::stale_attempt;
    }
    unlink(*record);
    record->set_state(wire::job_assigned);
    record->set_attempt(command.attempt());
    record->set_worker(command.worker());
    record->set_epoch(command.epoch());
    *record->mutable_reserved() = command.has_reserved() ? command.reserved() : record->need();
    record->set_worker_incarnation(incarnation);
    record->set_lost(false);
    record->set_changed_index(index);
    link(*record);
    return {};
}

std::error_code job_table::take_event(const wire::job_event& event, int max_attempts, log_index index) {
    auto* record = find_mutable(event.job());
    if (record == nullptr) {
        return state_errc::unknown_job;
    }
    const bool is_unplaceable = event.kind() == wire::event_unplaceable;
    const bool is_current = event.attempt() == record->attempt() || !m_rules.job_compares_attempt;
    if (!is_current || is_ended(record->state()) ||
        (is_unplaceable != (record->state() == wire::job_queued))) {
        return state_errc::stale_attempt;
    }
    if (event.kind() == wire::event_lost && record->lost()) {
        return {}; // told again: the wait for the lease goes on and does not begin anew
    }
    unlink(*record);
    apply_event(*record, event, max_attempts);
    record->set_changed_index(index);
    link(*record);
    return {};
}

void job_table::apply_event(wire::job& record, const wire::job_event& event, int max_attempts) {
    if (!event.checkpoint().empty()) {
        record.set_checkpoint(event.checkpoint());
    }
    switch (event.kind()) {
    case wire::event_started:
        record.set_state(wire::job_running);
        record.set_lost(false);
        record.set_started_ms(event.at_ms());
        break;
    case wire::event_checkpointed:
        record.set_lost(false);
        break;
    case wire::event_finished:
        record.set_result(event.detail());
        finish(record, wire::job_done, event.at_ms(), "");
        break;
    case wire::event_failed:
        on_failed(record, event, max_attempts);
        break;
    case wire::event_evicted:
        record.set_evictions(record.evictions() + 1);
        requeue(record);
        break;
    case wire::event_refused:
    case wire::event_absent:
        requeue(record);
        break;
    case wire::event_stopped:
        if (record.cancel_requested()) {
            finish(record, wire::job_cancelled, event.at_ms(), "cancelled");
        } else {
            record.set_evictions(record.evictions() +
                                 1); // stopped by its worker: it goes on from its checkpoint
            requeue(record);
        }
        break;
    case wire::event_lost:
        record.set_lost(true);
        record.set_reason(event.detail());
        if (!m_rules.job_waits_for_lease) {
            on_lease_over(record, event);
        }
        break;
    case wire::event_lease_over:
        if (record.lost() && event.expected_index() == record.changed_index()) {
            on_lease_over(record, event);
        }
        break;
    case wire::event_evict_asked:
        record.set_evict_requested(true);
        break;
    case wire::event_unplaceable:
        finish(record, wire::job_parked, event.at_ms(), event.detail());
        break;
    default:
        break;
    }
    // A cancelled job that would go back into the queue ends here instead.
    if (record.state() == wire::job_queued && record.cancel_requested()) {
        finish(record, wire::job_cancelled, event.at_ms(), "cancelled");
    }
}

void job_table::on_failed(wire::job& record, const wire::job_event& event, int max_attempts) {
    record.set_failures(record.failures() + 1);
    record.set_reason(event.detail());
    const auto& known = record.failed_workers();
    if (std::find(known.begin(), known.end(), record.worker()) == known.end()) {
        record.add_failed_workers(record.worker());
    }
    if (record.cancel_requested()) {
        finish(record, wire::job_cancelled, event.at_ms(), "cancelled");
    } else if (!record.idempotent()) {
        // A failure report says that it ran in part; only an operator may decide to run it again.
        finish(record, wire::job_failed, event.at_ms(), event.detail());
    } else if (static_cast<int>(record.failures()) >= max_attempts) {
        finish(record, wire::job_parked, event.at_ms(), "failed on every attempt; last: " + event.detail());
    } else {
        requeue(record);
    }
}

void job_table::on_lease_over(wire::job& record, const wire::job_event& event) {
    if (!record.idempotent() && m_rules.unknown_is_final) {
        finish(record, wire::job_unknown, event.at_ms(),
               "its worker was lost; it may have run: " + record.reason());
    } else {
        requeue(record);
    }
}

void job_table::requeue(wire::job& record) {
    record.set_state(wire::job_queued);
    record.set_lost(false);
    record.set_evict_requested(false);
    record.clear_worker();
}

void job_table::finish(wire::job& record, wire::job_state state, std::int64_t at_ms,
                       const std::string& reason) {
    record.set_state(state);
    record.set_lost(false);
    record.set_ended_ms(at_ms);
    if (!reason.empty()) {
        record.set_reason(reason);
    }
}

std::error_code job_table::cancel(const wire::cancel_job& command, log_index index) {
    auto* record = find_mutable(command.job());
    if (record == nullptr) {
        return state_errc::unknown_job;
    }
    if (record->state() == wire::job_cancelled || record->cancel_requested()) {
        return {};
    }
    if (record->state() == wire::job_done || record->state() == wire::job_failed) {
        return state_errc::not_allowed;
    }
    unlink(*record);
    record->set_cancel_requested(true);
    if (!is_active(record->state())) {
        finish(*record, wire::job_cancelled, command.at_ms(), "cancelled");
    }
    record->set_changed_index(index);
    link(*record);
    return {};
}

std::error_code job_table::resolve(const wire::resolve_job& command, log_index index) {
    auto* record = find_mutable(command.job());
    if (record == nullptr) {
        return state_errc::unknown_job;
    }
    const bool is_open = record->state() == wire::job_unknown || record->state() == wire::job_parked ||
                         record->state() == wire::job_failed;
    if (!is_open) {
        return state_errc::not_allowed;
    }
    unlink(*record);
    if (command.action() == wire::resolve_rerun) {
        record->set_failures(0);
        record->clear_failed_workers();
        requeue(*record);
    } else {
        const bool is_done = command.action() == wire::resolve_done;
        finish(*record, is_done ? wire::job_done : wire::job_failed, command.at_ms(),
               "resolved by an operator");
    }
    record->set_changed_index(index);
    link(*record);
    return {};
}

void job_table::expire(std::int64_t before_ms) {
    while (!m_ended.empty() && m_ended.begin()->first < before_ms) {
        const auto id = m_ended.begin()->second;
        const auto found = m_jobs.find(id);
        unlink(found->second);
        m_ids.erase(id);
        m_jobs.erase(found);
    }
}

// ---- queries

void job_table::for_each(const std::function<void(const wire::job&)>& visit) const {
    for (const auto& id : m_ids) {
        visit(m_jobs.at(id));
    }
}

std::vector<std::string> job_table::get_queued_tenants() const {
    std::vector<std::string> tenants;
    for (const auto& [tenant, queue] : m_queued) {
        tenants.push_back(tenant);
    }
    return tenants;
}

void job_table::for_each_queued(const std::string& tenant,
                                const std::function<bool(const wire::job&)>& visit) const {
    const auto found = m_queued.find(tenant);
    if (found == m_queued.end()) {
        return;
    }
    for (const auto& key : found->second) {
        if (!visit(m_jobs.at(key.id))) {
            return;
        }
    }
}

void job_table::for_each_on(const std::string& worker,
                            const std::function<void(const wire::job&)>& visit) const {
    const auto found = m_by_worker.find(worker);
    if (found == m_by_worker.end()) {
        return;
    }
    for (const auto& id : found->second) {
        visit(m_jobs.at(id));
    }
}

void job_table::for_each_lost(const std::function<void(const wire::job&)>& visit) const {
    for (const auto& id : m_lost) {
        visit(m_jobs.at(id));
    }
}

tenant_usage job_table::get_usage(const std::string& tenant) const {
    const auto found = m_usage.find(tenant);
    return found == m_usage.end() ? tenant_usage{} : found->second;
}

void job_table::restore(wire::job&& record) {
    link(record);
    m_ids.insert(record.id());
    auto id = record.id();
    m_jobs.emplace(std::move(id), std::move(record));
}

} // namespace poplarpitch
