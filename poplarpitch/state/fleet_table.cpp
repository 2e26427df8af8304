#include "poplarpitch/state/fleet_table.h"

#include "poplarpitch/state/amounts_codec.h"

#include <algorithm>
#include <vector>

namespace poplarpitch {

fleet_table::fleet_table(const state_rules& rules) : m_rules(rules) {}

// ---- sessions

std::error_code fleet_table::open(const wire::session& opened, log_index index) {
    const auto found = m_sessions.find(opened.entry());
    if (found != m_sessions.end()) {
        if (found->second.incarnation() == opened.incarnation()) {
            return {};
        }
        if (found->second.incarnation() > opened.incarnation()) {
            return state_errc::unknown_session; // a late message from an older process
        }
        release_workers(opened.entry(), index);
    }
    auto record = opened;
    record.set_opened_index(index);
    m_sessions[opened.entry()] = record;
    record_owned_change(opened.entry(), index);
    return {};
}

std::error_code fleet_table::close(const wire::close_session& command, log_index index) {
    const auto found = m_sessions.find(command.entry());
    if (found == m_sessions.end() || found->second.incarnation() != command.incarnation()) {
        return state_errc::unknown_session;
    }
    release_workers(command.entry(), index);
    m_sessions.erase(found);
    m_owned_change.erase(command.entry());
    return {};
}

std::error_code fleet_table::drain(const wire::drain_session& command) {
    const auto found = m_sessions.find(command.entry());
    if (found == m_sessions.end() || found->second.incarnation() != command.incarnation()) {
        return state_errc::unknown_session;
    }
    found->second.set_draining(!command.resumed());
    return {};
}

const wire::session* fleet_table::find_session(const std::string& entry) const {
    const auto found = m_sessions.find(entry);
    return found == m_sessions.end() ? nullptr : &found->second;
}

// ---- workers

std::error_code fleet_table::register_worker(const wire::worker& registered, log_index index) {
    const auto found = m_workers.find(registered.id());
    if (found == m_workers.end()) {
        auto record = registered;
        record.set_epoch(1);
        record.set_changed_index(index);
        if (find_session(record.owner()) == nullptr) {
            record.clear_owner();
        }
        m_owned[record.owner()].insert(record.id());
        record_owned_change(record.owner(), index);
        m_workers.emplace(record.id(), std::move(record));
        return {};
    }
    auto& record = found->second;
    if (record.address() != registered.address() && !record.silent()) {
        return state_errc::address_taken;
    }
    const auto owner = record.owner();
    const auto epoch = record.epoch();
    const bool is_quarantined = record.quarantined();
    record = registered;
    record.set_owner(owner);
    record.set_epoch(epoch);
    record.set_quarantined(is_quarantined);
    record.set_changed_index(index);
    record_owned_change(owner, index);
    return {};
}

std::error_code fleet_table::assign_owner(const wire::assign_owner& command, log_index index) {
    const auto found = m_workers.find(command.worker());
    if (found == m_workers.end()) {
        return state_errc::unknown_worker;
    }
    if (found->second.epoch() != command.expected_epoch()) {
        return state_errc::stale_epoch;
    }
    const auto* session = find_session(command.owner());
    if (!command.owner().empty() && (session == nullptr || session->draining())) {
        return state_errc::unknown_session;
    }
    set_owner(found->second, command.owner(), index);
    return {};
}

std::error_code fleet_table::mark(const wire::mark_worker& command, log_index index) {
    const auto found = m_workers.find(command.worker());
    if (found == m_workers.end()) {
        return state_errc::unknown_worker;
    }
    if (found->second.epoch() != command.epoch() && m_rules.epoch_is_compared) {
        return state_errc::stale_epoch;
    }
    found->second.set_silent(command.silent());
    found->second.set_quarantined(command.quarantined());
    found->second.set_changed_index(index);
    record_owned_change(found->second.owner(), index);
    return {};
}

void fleet_table::record_worker_change(const std::string& id, log_index index) {
    if (const auto* worker = find_worker(id)) {
        record_owned_change(worker->owner(), index);
    }
}

std::error_code fleet_table::remove(const wire::remove_worker& command, log_index index) {
    const auto found = m_workers.find(command.worker());
    if (found == m_workers.end()) {
        return state_errc::unknown_worker;
    }
    if (found->second.epoch() != command.epoch()) {
        return state_errc::stale_epoch;
    }
    m_owned[found->second.owner()].erase(command.worker());
    record_owned_change(found->second.owner(), index);
    m_workers.erase(found);
    return {};
}

const wire::worker* fleet_table::find_worker(const std::string& id) const {
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

void fleet_table::set_owner(wire::worker& record, const std::string& owner, log_index index) {
    m_owned[record.owner()].erase(record.id());
    record_owned_change(record.owner(), index);
    record.set_owner(owner);
    record.set_epoch(record.epoch() + 1);
    record.set_changed_index(index);
    m_owned[owner].insert(record.id());
    record_owned_change(owner, index);
}

void fleet_table::release_workers(const std::string& entry, log_index index) {
    const auto owned = get_owned(entry); // a copy: set_owner changes the set
    for (const auto& id : owned) {
        set_owner(m_workers.at(id), "", index);
    }
    m_owned.erase(entry);
}

const absl::btree_set<std::string>& fleet_table::get_owned(const std::string& entry) const {
    static const absl::btree_set<std::string> none;
    const auto found = m_owned.find(entry);
    return found == m_owned.end() ? none : found->second;
}

log_index fleet_table::get_owned_change_index(const std::string& entry) const {
    const auto found = m_owned_change.find(entry);
    return found == m_owned_change.end() ? 0 : found->second;
}

bool fleet_table::has_worker_with_capacity_for(const resources& need) const {
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [&](const auto& item) { return decode(item.second.capacity()).can_fit(need); });
}

void fleet_table::save(wire::state_snapshot& snapshot) const {
    for (const auto& [id, record] : m_sessions) {
        *snapshot.add_sessions() = record;
    }
    for (const auto& [id, record] : m_workers) {
        *snapshot.add_workers() = record;
    }
}

void fleet_table::load(const wire::state_snapshot& snapshot) {
    m_sessions.clear();
    m_workers.clear();
    m_owned.clear();
    m_owned_change.clear();
    for (const auto& record : snapshot.sessions()) {
        m_sessions[record.entry()] = record;
        record_owned_change(record.entry(), snapshot.applied_index());
    }
    for (const auto& record : snapshot.workers()) {
        m_workers[record.id()] = record;
        m_owned[record.owner()].insert(record.id());
        record_owned_change(record.owner(), snapshot.applied_index());
    }
}

} // namespace poplarpitch
