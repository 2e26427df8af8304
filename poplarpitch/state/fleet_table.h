#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/resources.h"
#include "poplarpitch/state/state_error.h"
#include "poplarpitch/state/state_rules.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <string>

namespace poplarpitch {

/// The sessions of the entries, the workers, and the owner and epoch of each worker. Every change of owner
/// increments the worker's epoch. The worker refuses requests with an older epoch, so two owners can never
/// both start work. Thread safety: none, as for all methods.
class fleet_table {
public:
    /// Creates a table without sessions and workers.
    explicit fleet_table(const state_rules& rules);

    /// Opens a session. Replaces a session of an older incarnation of the entry and releases its workers.
    std::error_code open(const wire::session& opened, log_index index);
    /// Closes a session and releases its workers.
    std::error_code close(const wire::close_session& command, log_index index);
    /// Marks a session as draining, so that it gets no more workers, or removes the mark.
    std::error_code drain(const wire::drain_session& command);
    /// Adds a worker or updates its description.
    std::error_code register_worker(const wire::worker& registered, log_index index);
    /// Assigns a worker to an entry and increments the worker's epoch.
    std::error_code assign_owner(const wire::assign_owner& command, log_index index);
    /// Sets whether a worker is silent (its owner receives nothing from it) and whether it is quarantined.
    std::error_code mark(const wire::mark_worker& command, log_index index);
    /// Makes the worker's owner read its list of workers and tasks again.
    void record_worker_change(const std::string& id, log_index index);
    /// Removes a worker.
    std::error_code remove(const wire::remove_worker& command, log_index index);

    /// Returns the session of `entry`, or null when there is none.
    [[nodiscard]] const wire::session* find_session(const std::string& entry) const;
    /// Returns worker `id`, or null when there is none.
    [[nodiscard]] const wire::worker* find_worker(const std::string& id) const;
    /// Returns all sessions by entry.
    [[nodiscard]] const absl::btree_map<std::string, wire::session>& get_sessions() const {
        return m_sessions;
    }
    /// Returns all workers by id.
    [[nodiscard]] const absl::btree_map<std::string, wire::worker>& get_workers() const { return m_workers; }
    /// Returns the ids of the workers owned by `entry`.
    [[nodiscard]] const absl::btree_set<std::string>& get_owned(const std::string& entry) const;
    /// Returns the ids of the workers without an owner.
    [[nodiscard]] const absl::btree_set<std::string>& get_unowned() const { return get_owned(""); }
    /// Returns the log index at which the workers of `entry` last changed.
    [[nodiscard]] log_index get_owned_change_index(const std::string& entry) const;
    /// Returns true if the total capacity of some registered worker is enough for `need`.
    [[nodiscard]] bool has_worker_with_capacity_for(const resources& need) const;

    /// Writes all sessions and workers into a snapshot.
    void save(wire::state_snapshot& snapshot) const;
    /// Replaces all sessions and workers by those of a snapshot.
    void load(const wire::state_snapshot& snapshot);

private:
    void set_owner(wire::worker& record, const std::string& owner, log_index index);
    void release_workers(const std::string& entry, log_index index);
    void record_owned_change(const std::string& owner, log_index index) { m_owned_change[owner] = index; }

    state_rules m_rules;
    absl::btree_map<std::string, wire::session> m_sessions;
    absl::btree_map<std::string, wire::worker> m_workers;
    absl::btree_map<std::string, absl::btree_set<std::string>> m_owned;
    absl::btree_map<std::string, log_index> m_owned_change;
};

} // namespace poplarpitch
