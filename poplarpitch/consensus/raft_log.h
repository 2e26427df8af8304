#pragma once

#include "poplarpitch/consensus/log_entry.h"

#include <deque>
#include <optional>
#include <vector>

namespace poplarpitch {

/// The log entries after the last snapshot, kept in memory. The driver stores the same entries on disk.
/// Thread safety: none, as for all methods.
class raft_log {
public:
    /// Clears the log. The next entry follows the snapshot at `index` of `term`.
    void reset(log_index index, log_term term);
    /// Appends one entry. Precondition: its index is the last index plus one.
    void append(log_entry entry);
    /// Removes the entries from `index` to the end. Precondition: `index` is after the snapshot.
    void truncate_from(log_index index);
    /// Removes the entries up to `index`, which a snapshot now covers. Precondition: `index` is in the log.
    void compact(log_index index);

    /// Returns the index of the last entry, or of the snapshot when there is no entry.
    [[nodiscard]] log_index get_last_index() const { return m_base_index + m_entries.size(); }
    /// Returns the term of the last entry, or of the snapshot when there is no entry.
    [[nodiscard]] log_term get_last_term() const;
    /// Returns the index of the snapshot.
    [[nodiscard]] log_index get_base_index() const { return m_base_index; }
    /// Returns the term of the snapshot.
    [[nodiscard]] log_term get_base_term() const { return m_base_term; }
    /// Returns the term at `index`, or nothing when `index` is before the snapshot or after the last entry.
    [[nodiscard]] std::optional<log_term> find_term(log_index index) const;
    /// Returns the entry at `index`. Precondition: the log has an entry at `index`.
    [[nodiscard]] const log_entry& at(log_index index) const;
    /// Copies entries starting at `first`, up to `max_bytes` of payload in total, but at least one entry.
    [[nodiscard]] std::vector<log_entry> copy_from(log_index first, std::size_t max_bytes) const;

private:
    log_index m_base_index = 0;
    log_term m_base_term = 0;
    std::deque<log_entry> m_entries;
};

} // namespace poplarpitch
