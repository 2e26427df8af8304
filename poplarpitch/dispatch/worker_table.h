#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/worker_state.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

/// All workers that the leader knows, and when each is due to be looked at.
///
/// A worker stays where it is in memory while it is known, so that runs can point to theirs. The times of
/// looks stand in one dense row: a pass over thousands of workers reads only that. Load pattern: 1,800
/// workers of which 20 are due in a turn; looks at all of them, by an ordered map, took an eighth of the
/// leader's time. Thread safety: none, as for all methods.
class worker_table {
public:
    /// Returns a worker's state, a new one where it is not known. A new one is due at once.
    worker_state& get(const worker_life& life);
    /// Returns a worker's state, or null.
    [[nodiscard]] worker_state* find(const worker_life& life) const;
    /// Forgets a worker. Precondition: nothing points to it.
    void erase(const worker_life& life);
    void clear();

    /// Returns the other lives of the worker of this one that are known, in order.
    [[nodiscard]] std::vector<worker_state*> find_other_lives(const worker_life& life) const;

    /// Returns all workers in the order of their ids.
    [[nodiscard]] const std::vector<worker_state*>& get_all() const { return m_all; }
    /// Returns all workers by life.
    [[nodiscard]] const std::map<worker_life, worker_state>& get_map() const { return m_workers; }

    /// Notes the address of a worker. Returns all lives that were seen there, some of which may be forgotten.
    const std::vector<worker_life>& add_address(const worker_state& worker);

    /// Makes a worker due at `when`, if it is not due before.
    void schedule_check(const worker_state& worker, time_point when);
    /// Returns the workers that are due, in the order of their ids; each is due again at `next`, or earlier
    /// where `schedule_check` says so.
    std::vector<worker_state*> take_due(time_point now, time_point next);

private:
    /// Returns where a life stands in `m_all`, or would stand.
    [[nodiscard]] std::vector<worker_state*>::const_iterator find_position(const worker_life& life) const;
    void renumber_from(std::size_t place);

    std::map<worker_life, worker_state> m_workers;
    absl::flat_hash_map<worker_life, worker_state*> m_by_life;
    absl::flat_hash_map<std::string, std::vector<worker_life>> m_lives; ///< by address
    std::vector<worker_state*> m_all;                                   ///< by life
    std::vector<time_point> m_check_times; ///< when each is due; same places as `m_all`
};

} // namespace poplarpitch
