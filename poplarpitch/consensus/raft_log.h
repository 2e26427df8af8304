#pragma once

#include "poplarpitch/consensus/log_entry.h"

#include <deque>
#include <optional>
#include <vector>

namespace poplarpitch {

/// The entries behind the last snapshot, in memory; the driver keeps the same on disk.
/// Thread safety: none, as for all methods.
class raft_log {
public:
    /// Starts behind the snapshot at `index` of `term`.
    void reset(log_index index, log_term term);
    /// Appends one entry. Precondition: its index follows the last one.
    void append(log_entry entry);
    /// Drops the entries from `index` on. Precondition: `index` is behind the snapshot.
    void truncate_from(log_index index);
    /// Drops the entries up to `index`, which a snapshot now holds. Precondition: `index` is in the log.
    void compact(log_index index);

    /// Returns the index of the last entry, or the snapshot's.
    [[nodiscard]] log_index get_last_index() const { return m_base_index + m_entries.size(); }
    /// Returns the term of the last entry, or the snapshot's.
    [[nodiscard]] log_term get_last_term() const;
    /// Returns the snapshot's index.
    [[nodiscard]] log_index get_base_index() const { return m_base_index; }
    /// Returns the snapshot's term.
    [[nodiscard]] log_term get_base_term() const { return m_base_term; }
    /// Returns the term at `index`; empty when it is before the snapshot or behind the end.
    [[nodiscard]] std::optional<log_term> find_term(log_index index) const;
    /// Returns the entry at `index`. Precondition: it is behind the snapshot and not behind the end.
    [[nodiscard]] const log_entry& at(log_index index) const;
    /// Copies entries from `first` on, of at most `max_bytes` in all but at least one.
    [[nodiscard]] std::vector<log_entry> copy_from(log_index first, std::size_t max_bytes) const;

private:
    log_index m_base_index = 0;
    log_term m_base_term = 0;
    std::deque<log_entry> m_entries;
};

} // namespace poplarpitch
