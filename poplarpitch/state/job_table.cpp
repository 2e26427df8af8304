#include "poplarpitch/state/job_table.h"

#include "poplarpitch/state/amounts_codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::uint32_t max_worker_crashes = 3; // per job, which is then parked for an operator

} // namespace

bool is_ended(wire::job_state state) {
    return state != wire::job_queued && state != wire::job_assigned && state != wire::job_running;
}

bool is_active(wire::job_state state) {
    return state == wire::job_assigned || state == wire::job_running;
}

job_table::job_table(const state_rules& rules, std::size_t max_jobs, std::size_t max_bytes)
    : m_rules(rules), m_max_jobs(max_jobs), m_max_bytes(max_bytes) {}

// ---- indexes

job_table::job_node* job_table::find_node(const std::string& id) {
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &*found;
}

void job_table::remove_from_indexes(const job_node& node, const wire::job& record) {
    auto& usage = m_usage[record.tenant()];
    if (record.state() == wire::job_queued) {
        auto& queue = m_queued[record.tenant()];
        queue.erase({!record.urgent(), record.submitted_ms(), &node});
        if (queue.empty()) {
            m_queued.erase(record.tenant());
        }
        --m_queued_count;
    }
    if (is_active(record.state())) {
        remove_from_worker_jobs(node, record);
        m_lost.erase(&node);
        --m_active_count;
        usage.active_millicores -= record.need().millicores();
        usage.active_accelerators -= record.need().accelerators();
    }
    if (is_ended(record.state())) {
        m_ended.erase({false, record.ended_ms(), &node});
    } else {
        --usage.open_jobs;
    }
}

void job_table::add_to_indexes(const job_node& node, const wire::job& record) {
    auto& usage = m_usage[record.tenant()];
    if (record.state() == wire::job_queued) {
        m_queued[record.tenant()].insert({!record.urgent(), record.submitted_ms(), &node});
        ++m_queued_count;
    }
    if (is_active(record.state())) {
        add_to_worker_jobs(node, record);
        if (record.lost()) {
            m_lost.insert(&node);
        }
        ++m_active_count;
        usage.active_millicores += record.need().millicores();
        usage.active_accelerators += record.need().accelerators();
    }
    if (is_ended(record.state())) {
        m_ended.insert({false, record.ended_ms(), &node});
    } else {
        ++usage.open_jobs;
    }
}

void job_table::add_to_worker_jobs(const job_node& node, const wire::job& record) {
    auto& worker = m_by_worker[record.worker()];
    worker.jobs.insert(&node);
    worker.claims.reserved += decode(record.reserved());
    ++worker.claims.tasks_by_tenant[record.tenant()];
}

void job_table::remove_from_worker_jobs(const job_node& node, const wire::job& record) {
    const auto found = m_by_worker.find(record.worker());
    if (found == m_by_worker.end()) {
        return;
    }
    auto& worker = found->second;
    worker.jobs.erase(&node);
    if (worker.jobs.empty()) {
        m_by_worker.erase(found);
        return;
    }
    worker.claims.reserved -= decode(record.reserved());
    const auto tenant = worker.claims.tasks_by_tenant.find(record.tenant());
    if (--tenant->second == 0) {
        worker.claims.tasks_by_tenant.erase(tenant);
    }
}

void job_table::store(job_node& node, wire::job& record, log_index index) {
    record.set_changed_index(index);
    m_bytes -= node.second.get_bytes().size();
    node.second.pack(record);
    m_bytes += node.second.get_bytes().size();
    add_to_indexes(node, record);
}

// ---- commands

std::error_code job_table::submit(const wire::job& submitted, std::int64_t tenant_limit, log_index index) {
    const auto existing = find(submitted.id());
    if (existing.has_value()) {
        const bool is_same = existing->request_hash() == submitted.request_hash();
        return is_same ? std::error_code{} : make_error_code(state_errc::conflicting_job);
    }
    if (get_usage(submitted.tenant()).open_jobs >= tenant_limit) {
        return state_errc::over_quota;
    }
    if (m_jobs.size() >= m_max_jobs || m_bytes + submitted.ByteSizeLong() > m_max_bytes) {
        return state_errc::jobs_full;
    }
    auto record = submitted;
    record.set_state(wire::job_queued);
    record.set_attempt(0);
    record.set_changed_index(index);
    restore(record);
    return {};
}

std::error_code job_table::assign(const wire::assign_job& command, std::uint64_t incarnation,
                                  log_index index) {
    auto* node = find_node(command.job());
    if (node == nullptr) {
        return state_errc::unknown_job;
    }
    auto record = node->second.unpack();
    if (record.state() != wire::job_queued || command.attempt() != record.attempt() + 1) {
        return state_errc::stale_attempt;
    }
    remove_from_indexes(*node, record);
    record.set_state(wire::job_assigned);
    record.set_attempt(command.attempt());
    record.set_worker(command.worker());
    record.set_epoch(command.epoch());
    *record.mutable_reserved() = command.has_reserved() ? command.reserved() : record.need();
    record.set_worker_incarnation(incarnation);
    record.set_lost(false);
    store(*node, record, index);
    return {};
}

std::error_code job_table::handle_event(const wire::job_event& event, int max_attempts, log_index index) {
    auto* node = find_node(event.job());
    if (node == nullptr) {
        return state_errc::unknown_job;
    }
    auto record = node->second.unpack();
    const bool is_unplaceable = event.kind() == wire::event_unplaceable;
    const bool is_current = event.attempt() == record.attempt() || !m_rules.job_compares_attempt;
    if (!is_current || is_ended(record.state()) || (is_unplaceable != (record.state() == wire::job_queued))) {
        return state_errc::stale_attempt;
    }
    if (event.kind() == wire::event_lost && record.lost()) {
        record_crash(*node, record, event);
        return {}; // repeated event: the wait for the lease continues and does not restart
    }
    remove_from_indexes(*node, record);
    apply_event(record, event, max_attempts);
    store(*node, record, index);
    return {};
}

void job_table::record_crash(job_node& node, wire::job& record, const wire::job_event& event) {
    if (!event.crashed() || record.crashed()) {
        return;
    }
    remove_from_indexes(node, record);
    record.set_crashed(true);
    store(node, record, record.changed_index());
}

void job_table::apply_event(wire::job& record, const wire::job_event& event, int max_attempts) {
    if (!event.checkpoint().empty()) {
        record.set_checkpoint(event.checkpoint());
    }
    switch (event.kind()) {
    case wire::event_started:
        record.set_state(wire::job_running);
        record.set_lost(false);
        record.set_crashed(false);
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
            record.set_evictions(record.evictions() + 1); // stopped by its worker: resumes at the checkpoint
            requeue(record);
        }
        break;
    case wire::event_lost:
        record.set_lost(true);
        record.set_crashed(event.crashed());
        record.set_reason(event.detail());
        if (!m_rules.job_waits_for_lease) {
            on_lease_expired(record, event);
        }
        break;
    case wire::event_lease_over:
        if (record.lost() && event.expected_index() == record.changed_index()) {
            on_lease_expired(record, event);
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
    // A job with a requested cancellation ends here instead of being queued again.
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
        // A failed job has run in part. Only an operator may decide to rerun it.
        finish(record, wire::job_failed, event.at_ms(), event.detail());
    } else if (static_cast<int>(record.failures()) >= max_attempts) {
        finish(record, wire::job_parked, event.at_ms(), "failed on every attempt; last: " + event.detail());
    } else {
        requeue(record);
    }
}

void job_table::on_lease_expired(wire::job& record, const wire::job_event& event) {
    if (!record.idempotent() && m_rules.unknown_is_final) {
        finish(record, wire::job_unknown, event.at_ms(),
               "its worker was lost; it may have run: " + record.reason());
        return;
    }
    // A rerun would only crash the next worker and everything that runs there.
    record.set_crashes(record.crashes() + (record.crashed() ? 1 : 0));
    if (record.crashes() >= max_worker_crashes) {
        finish(record, wire::job_parked, event.at_ms(),
               absl::StrCat("its worker ended under ", record.crashes(), " attempts"));
        return;
    }
    requeue(record);
}

void job_table::requeue(wire::job& record) {
    record.set_state(wire::job_queued);
    record.set_lost(false);
    record.set_crashed(false);
    record.set_evict_requested(false);
    record.clear_worker();
}

void job_table::finish(wire::job& record, wire::job_state state, std::int64_t at_ms,
                       const std::string& reason) {
    record.set_state(state);
    record.set_lost(false);
    record.set_ended_ms(at_ms);
    if (state == wire::job_done || state == wire::job_cancelled) {
        record.clear_payload(); // never rerun; parked, failed and unknown jobs may be
        record.clear_checkpoint();
        record.clear_failed_workers();
    }
    if (!reason.empty()) {
        record.set_reason(reason);
    }
}

std::error_code job_table::cancel(const wire::cancel_job& command, log_index index) {
    auto* node = find_node(command.job());
    if (node == nullptr) {
        return state_errc::unknown_job;
    }
    auto record = node->second.unpack();
    if (record.state() == wire::job_cancelled || record.cancel_requested()) {
        return {};
    }
    if (record.state() == wire::job_done || record.state() == wire::job_failed) {
        return state_errc::not_allowed;
    }
    remove_from_indexes(*node, record);
    record.set_cancel_requested(true);
    if (!is_active(record.state())) {
        finish(record, wire::job_cancelled, command.at_ms(), "cancelled");
    }
    store(*node, record, index);
    return {};
}

std::error_code job_table::resolve(const wire::resolve_job& command, log_index index) {
    auto* node = find_node(command.job());
    if (node == nullptr) {
        return state_errc::unknown_job;
    }
    auto record = node->second.unpack();
    const bool is_resolvable = record.state() == wire::job_unknown || record.state() == wire::job_parked ||
                               record.state() == wire::job_failed;
    if (!is_resolvable) {
        return state_errc::not_allowed;
    }
    remove_from_indexes(*node, record);
    if (command.action() == wire::resolve_rerun) {
        record.set_failures(0);
        record.set_crashes(0);
        record.clear_failed_workers();
        requeue(record);
    } else {
        const bool is_done = command.action() == wire::resolve_done;
        finish(record, is_done ? wire::job_done : wire::job_failed, command.at_ms(),
               "resolved by an operator");
    }
    store(*node, record, index);
    return {};
}

void job_table::expire(std::int64_t before_ms) {
    while (!m_ended.empty() && m_ended.begin()->at_ms < before_ms) {
        const auto* node = m_ended.begin()->node;
        remove_from_indexes(*node, node->second.unpack());
        m_bytes -= node->second.get_bytes().size();
        m_jobs.erase(m_jobs.find(node->first));
    }
}

void job_table::restore(const wire::job& record) {
    const auto added = m_jobs.emplace(record.id(), packed_job(record)).first;
    m_bytes += added->second.get_bytes().size();
    add_to_indexes(*added, record);
}

} // namespace poplarpitch
