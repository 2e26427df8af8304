#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace poplarpitch {

/// Timing and limits of a raft node. The defaults suit links with a one-way latency of about 1 ms.
struct raft_settings {
    duration heartbeat_interval = milliseconds{100}; ///< a quarter of the election timeout: three may be lost
    duration election_timeout_min = milliseconds{400}; ///< failover in under a second; also the leader lease
    duration election_timeout_max = milliseconds{700}; ///< the random spread keeps two candidates apart
    duration drift_margin = milliseconds{40};          ///< subtracted from the leader lease: 10% clock drift
    duration transfer_timeout = milliseconds{800};     ///< a leader whose transfer takes longer steps down
    std::size_t max_append_bytes = 256UL << 10;        ///< entries in one append message
    std::size_t max_inflight = 16;                     ///< append messages in flight per follower
    std::size_t max_uncommitted_bytes = 8 << 20;       ///< proposals beyond it are rejected
    std::size_t snapshot_chunk = 256UL << 10;          ///< bytes in one chunk of a snapshot
    std::uint64_t catch_up_gap = 100;                  ///< entries that a learner may lack when promoted

    friend auto operator<=>(const raft_settings&, const raft_settings&) = default;
};

} // namespace poplarpitch
