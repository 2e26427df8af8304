#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/worker_state.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

/// All workers that the leader knows, and when each is due for a check.
///
/// A worker's address in memory is stable while it is known, so that runs can point to it. The check times
/// are stored in one dense array, and a pass over thousands of workers reads only that. Load pattern: of
/// 1,800 workers, 20 are due in a turn. Iterating over all of them in an ordered map took an eighth of the
/// leader's time.
///
/// The check times are indexed by a slot that a worker keeps while it is known. Load pattern: a new leader
/// learns of 10,000 workers within one call. With check times in the order of the incarnations, each new
/// worker renumbered all later ones; the call took longer than the leader's lease. Thread safety: none, as
/// for all methods.
class worker_table {
public:
    /// Returns a worker's state. Adds a new one, which is due at once, if the worker is not known.
    worker_state& get(const worker_incarnation& incarnation);
    /// Returns a worker's state, or null.
    [[nodiscard]] worker_state* find(const worker_incarnation& incarnation) const;
    /// Removes a worker. Precondition: nothing points to it.
    void erase(const worker_incarnation& incarnation);
    void clear();

    /// Returns the other known incarnations of this worker, in order.
    [[nodiscard]] std::vector<worker_state*>
    find_other_incarnations(const worker_incarnation& incarnation) const;

    /// Returns all workers, ordered by incarnation.
    [[nodiscard]] const std::vector<worker_state*>& get_all() const { return m_all; }
    /// Returns the number of slots. The slots of all workers are below it.
    [[nodiscard]] std::size_t count_slots() const { return m_by_slot.size(); }
    /// Returns all workers by incarnation.
    [[nodiscard]] const std::map<worker_incarnation, worker_state>& get_map() const { return m_workers; }

    /// Adds a worker's address. Returns all incarnations that were seen at that address; some may have been
    /// removed.
    const std::vector<worker_incarnation>& add_address(const worker_state& worker);

    /// Makes a worker due at `when` unless it is due earlier.
    void schedule_check(const worker_state& worker, time_point when);
    /// Returns the due workers, ordered by incarnation. Each is due again at `next`, or earlier by
    /// `schedule_check`. Precondition: `now` is before `time_point::max()`.
    std::vector<worker_state*> take_due(time_point now, time_point next);

private:
    /// Returns the position of an incarnation in `m_all`, or where it would be inserted.
    [[nodiscard]] std::vector<worker_state*>::const_iterator
    find_position(const worker_incarnation& incarnation) const;
    /// Returns a slot that no worker has. Its check is due at once.
    std::size_t take_slot();

    std::map<worker_incarnation, worker_state> m_workers;
    absl::flat_hash_map<worker_incarnation, worker_state*> m_by_incarnation;
    absl::flat_hash_map<std::string, std::vector<worker_incarnation>> m_incarnations; ///< by address
    std::vector<worker_state*> m_all;                                                 ///< by incarnation
    std::vector<worker_state*> m_by_slot;  ///< null for a free slot
    std::vector<time_point> m_check_times; ///< when each worker is due, by slot; free slots are never due
    std::vector<std::size_t> m_free_slots;
};

} // namespace poplarpitch
