#pragma once

#include "poplarpitch/consensus/hard_state.h"
#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/consensus/raft_message.h"
#include "poplarpitch/consensus/raft_snapshot.h"

#include <optional>
#include <vector>

namespace poplarpitch {

/// Work that a node requests from its driver. The driver first stores and syncs `install`, `truncate_from`,
/// `entries` and `state`, in this order. It then sends `messages`, applies `committed` and serves `reads`.
struct raft_output {
    std::optional<raft_snapshot> install; ///< replaces the state machine and the log up to its index
    log_index truncate_from = 0;          ///< remove stored entries from this index on; 0 means none
    std::vector<log_entry> entries;       ///< entries to append
    std::optional<hard_state> state;      ///< set when the term or vote changed
    std::vector<raft_message> messages;
    std::vector<log_entry> committed; ///< in order, each entry exactly once since the start
    std::vector<std::uint64_t> reads; ///< tokens of reads that may be served once `committed` is applied
    std::vector<std::uint64_t> failed_reads; ///< tokens of reads that failed because leadership was lost

    /// Returns true if anything must be synced to disk. Thread safety: any thread.
    [[nodiscard]] bool needs_sync() const {
        return install.has_value() || truncate_from != 0 || !entries.empty() || state.has_value();
    }
};

} // namespace poplarpitch
