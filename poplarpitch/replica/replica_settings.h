#pragma once

#include "poplarpitch/consensus/raft_settings.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// How a control instance takes part in the replicated log.
struct replica_settings {
    std::string cluster = "poplarpitch"; ///< name of the cluster; a data folder of another one is refused
    std::string host = "127.0.0.1";      ///< address to listen on and to be reached at
    int port = 0;                        ///< for frames of own processes; the same on all instances
    std::string data_folder;
    std::vector<std::string> seeds; ///< addresses of up to three control instances, without port
    bool may_found = false;         ///< the whole system starts for the first time
    std::size_t voters = 5;         ///< tolerates the loss of two disks
    duration voter_loss =
        milliseconds{2500}; ///< a voter silent for this long is replaced where another can be: a replaced
                            ///< instance must count again within 4 s, an election takes 1
    std::uint64_t snapshot_bytes = 8U << 20; ///< of log since the last snapshot; replays in under a second
    std::uint64_t kept_entries = 500; ///< before the snapshot, so that a follower a little behind needs none
    raft_settings raft;

    friend auto operator<=>(const replica_settings&, const replica_settings&) = default;
};

} // namespace poplarpitch
