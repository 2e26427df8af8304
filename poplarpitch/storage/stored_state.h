#pragma once

#include "poplarpitch/consensus/hard_state.h"
#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/consensus/raft_snapshot.h"

#include <vector>

namespace poplarpitch {

/// What a data folder held when it was opened.
struct stored_state {
    bool is_blank = true; ///< nothing was ever stored here
    hard_state state;
    raft_snapshot snapshot;
    std::vector<log_entry> entries; ///< behind the snapshot
    raft_membership initial;        ///< members at the forming of the cluster
    std::uint64_t cut_bytes = 0;    ///< bytes of a torn end that were cut off

    friend bool operator==(const stored_state&, const stored_state&) = default;
};

} // namespace poplarpitch
