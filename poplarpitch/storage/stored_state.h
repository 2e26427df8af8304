#pragma once

#include "poplarpitch/consensus/hard_state.h"
#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/consensus/raft_snapshot.h"

#include <vector>

namespace poplarpitch {

/// Contents of a data folder when it was opened.
struct stored_state {
    bool is_empty = true; ///< true when the folder holds no state
    hard_state state;
    raft_snapshot snapshot;
    std::vector<log_entry> entries;    ///< entries after the snapshot
    raft_membership initial;           ///< initial members of the cluster
    std::uint64_t truncated_bytes = 0; ///< bytes truncated from a torn end

    friend bool operator==(const stored_state&, const stored_state&) = default;
};

} // namespace poplarpitch
