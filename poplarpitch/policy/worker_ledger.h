#pragma once

#include "poplarpitch/core/resources.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace poplarpitch {

/// Identifies a grant within one ledger.
using grant_id = std::uint64_t;

/// Accounts for the resources of one worker, on behalf of its only owner: the capacity and what is granted to
/// requests and tasks together. This class alone ensures that a worker is not given more than it can hold, so
/// entries need no agreement on it. The invariant: `try_acquire` and `resize` never let the grants plus
/// the usage of older epochs exceed the capacity. When the capacity shrinks, or the worker reports more usage
/// of older epochs than is free, nothing new is granted until enough has been released. Thread safety: none,
/// as for all methods.
class worker_ledger {
public:
    /// Starts closed: nothing is granted before the worker has reported everything it runs.
    explicit worker_ledger(const resources& capacity = {});

    /// Grants `need` under `id`. Returns false and changes nothing when it does not fit, the ledger is closed
    /// or `id` is in use. Precondition: `need` is valid.
    bool try_acquire(grant_id id, const resources& need);
    /// Adds a grant for work that already runs, whether it fits or not. Returns false when `id` is in use.
    bool adopt(grant_id id, const resources& need);
    /// Releases the grant `id`. Returns false when there is no such grant, so nothing is released twice.
    bool release(grant_id id);
    /// Changes the resources of a grant to match its usage. Returns false and changes nothing when there is
    /// no such grant or when the growth exceeds what is free. Precondition: `need` is valid.
    bool resize(grant_id id, const resources& need);

    /// Sets the worker's current capacity. Precondition: it is valid.
    void set_capacity(const resources& capacity) { m_capacity = capacity; }
    /// Sets the resources of what the worker runs for earlier owners. Precondition: they are valid.
    void set_old_epoch_usage(const resources& usage) { m_old_epoch_usage = usage; }
    /// Opens or closes the ledger for new grants.
    void set_open(bool is_open) { m_is_open = is_open; }

    [[nodiscard]] bool is_open() const { return m_is_open; }
    /// Returns true when there is a grant `id`.
    [[nodiscard]] bool has(grant_id id) const { return m_grants.contains(id); }
    [[nodiscard]] const resources& get_capacity() const { return m_capacity; }
    /// Returns the sum of the grants.
    [[nodiscard]] const resources& get_granted() const { return m_granted; }
    /// Returns what may still be granted; negative where the worker is overcommitted.
    [[nodiscard]] resources get_free() const { return m_capacity - m_granted - m_old_epoch_usage; }
    [[nodiscard]] std::size_t get_grant_count() const { return m_grants.size(); }

private:
    resources m_capacity;
    resources m_granted;         ///< sum of the grants
    resources m_old_epoch_usage; ///< reported by the worker as started under older epochs
    absl::flat_hash_map<grant_id, resources> m_grants;
    bool m_is_open = false;
};

} // namespace poplarpitch
