#pragma once

#include "poplarpitch/core/resources.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace poplarpitch {

/// Number of a grant in one ledger.
using grant_id = std::uint64_t;

/// The account of one worker, kept by its one owner: what it holds and what is given out, requests and tasks
/// together. "Never more than it can hold" is this class's invariant and nobody else's, so it needs no
/// agreement between entries. The invariant: given + foreign never grows beyond capacity. When a worker
/// shrinks, or reports more foreign work than is free, nothing new is given until enough has come back.
/// Thread safety: none, as for all methods.
class worker_ledger {
public:
    /// Starts closed: nothing is given before the worker has reported all that it runs.
    explicit worker_ledger(const resources& capacity = {});

    /// Gives `need` under `id`. Returns false, changing nothing, when it does not fit, the ledger is closed
    /// or `id` is in use. Precondition: `need` is valid.
    bool try_acquire(grant_id id, const resources& need);
    /// Notes something that runs already, whether it fits or not. Returns false when `id` is in use.
    bool adopt(grant_id id, const resources& need);
    /// Takes back what `id` holds. Returns false when there is no such grant, so nothing is taken back twice.
    bool release(grant_id id);
    /// Changes what a grant holds, as usage shows it. Growing beyond what is free is refused.
    bool resize(grant_id id, const resources& need);

    /// Takes the worker's present capacity. Precondition: it is valid.
    void set_capacity(const resources& capacity) { m_capacity = capacity; }
    /// Takes what the worker runs for earlier owners. Precondition: it is valid.
    void set_foreign(const resources& foreign) { m_foreign = foreign; }
    /// Opens or closes the ledger for new grants.
    void set_open(bool is_open) { m_is_open = is_open; }

    [[nodiscard]] bool is_open() const { return m_is_open; }
    [[nodiscard]] bool has(grant_id id) const { return m_grants.contains(id); }
    [[nodiscard]] const resources& get_capacity() const { return m_capacity; }
    [[nodiscard]] const resources& get_given() const { return m_granted; }
    /// Returns what may still be given; negative where the worker holds too much already.
    [[nodiscard]] resources get_free() const { return m_capacity - m_granted - m_foreign; }
    [[nodiscard]] std::size_t get_grant_count() const { return m_grants.size(); }

private:
    resources m_capacity;
    resources m_granted; ///< sum of the grants
    resources m_foreign; ///< reported by the worker as started under older epochs
    absl::flat_hash_map<grant_id, resources> m_grants;
    bool m_is_open = false;
};

} // namespace poplarpitch
