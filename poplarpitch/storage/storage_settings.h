#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/consensus/raft_membership.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// The cluster and node that a data folder belongs to.
struct storage_settings {
    std::string cluster; ///< name of the cluster
    node_id node = 0;    ///< id of the node

    friend auto operator<=>(const storage_settings&, const storage_settings&) = default;
};

} // namespace poplarpitch
