#pragma once

#include "poplarpitch/consensus/raft_membership.h"

#include <memory>
#include <string>

namespace poplarpitch {

/// The state machine's state up to an index; stands in for the log before it.
struct raft_snapshot {
    log_index index = 0;
    log_term term = 0;
    raft_membership members;
    std::shared_ptr<const std::string> data; ///< never changed once made; null when index is 0

    friend bool operator==(const raft_snapshot&, const raft_snapshot&) = default;
};

} // namespace poplarpitch
