#pragma once

#include "poplarpitch/consensus/raft_membership.h"

#include <memory>
#include <string>

namespace poplarpitch {

/// State of the state machine at an index. Replaces the log up to that index.
struct raft_snapshot {
    log_index index = 0;
    log_term term = 0;
    raft_membership members;
    std::shared_ptr<const std::string> data; ///< immutable; null when `index` is 0

    friend bool operator==(const raft_snapshot&, const raft_snapshot&) = default;
};

} // namespace poplarpitch
