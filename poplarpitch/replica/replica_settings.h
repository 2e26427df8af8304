#pragma once

#include "poplarpitch/consensus/raft_settings.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// Settings of a control instance's replica of the log.
struct replica_settings {
    std::string cluster = "poplarpitch"; ///< name of the cluster; a data folder of another cluster is refused
    std::string host = "127.0.0.1";      ///< address to listen on, and at which peers connect
    int port = 0;                        ///< for frames between instances; the same on all instances
    std::string data_centre;             ///< of this instance; empty when it is not known
    std::string data_folder;
    std::vector<std::string> seeds; ///< addresses of up to three control instances, without port
    bool may_found = false;         ///< true when the whole system starts for the first time
    std::size_t voters = 5;         ///< tolerates the loss of two disks
    /// A voter that is silent for this long is replaced when there is another instance. A replaced instance
    /// must count as a voter again within 4 s, and an election takes 1 s.
    duration voter_loss_timeout = milliseconds{2500};
    std::uint64_t snapshot_bytes =
        8U << 20; ///< log size that triggers a snapshot; a log of this size is replayed in under 1 s
    std::uint64_t kept_entries =
        500; ///< log entries kept before a snapshot, so that a slightly slow follower needs no snapshot
    std::size_t kept_bytes = 8U << 20; ///< of the payloads of the entries kept
    std::size_t max_unknown_connections =
        480; ///< of processes other than control instances, to the link port
    raft_settings raft;

    friend auto operator<=>(const replica_settings&, const replica_settings&) = default;
};

} // namespace poplarpitch
