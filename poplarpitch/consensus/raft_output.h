#pragma once

#include "poplarpitch/consensus/hard_state.h"
#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/consensus/raft_message.h"
#include "poplarpitch/consensus/raft_snapshot.h"

#include <optional>
#include <vector>

namespace poplarpitch {

/// What a node asks its driver to do, in this order: store and sync `install`, `truncate_from`, `entries` and
/// `state`; then send `messages`, apply `committed` and answer `reads`.
struct raft_output {
    std::optional<raft_snapshot> install; ///< replaces state machine and log up to its index
    log_index truncate_from = 0;          ///< drop stored entries from this index on; 0 for none
    std::vector<log_entry> entries;       ///< to append
    std::optional<hard_state> state;      ///< changed term or vote
    std::vector<raft_message> messages;
    std::vector<log_entry> committed; ///< in order, each exactly once since start
    std::vector<std::uint64_t> reads; ///< tokens of reads that may be answered once `committed` is applied
    std::vector<std::uint64_t> failed_reads; ///< tokens whose leadership was lost

    /// Returns true when something must reach the disk. Thread safety: any thread.
    [[nodiscard]] bool needs_sync() const {
        return install.has_value() || truncate_from != 0 || !entries.empty() || state.has_value();
    }
};

} // namespace poplarpitch
