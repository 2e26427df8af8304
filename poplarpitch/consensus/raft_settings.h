#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace poplarpitch {

/// Timing and bounds of a raft node. Defaults suit links of about 1 ms one way.
struct raft_settings {
    duration heartbeat_interval = milliseconds{100}; ///< a quarter of an election timeout: three may be lost
    duration election_timeout_min = milliseconds{400}; ///< failover under a second; also the leader lease
    duration election_timeout_max = milliseconds{700}; ///< the spread keeps two candidates apart
    duration drift_margin = milliseconds{40};          ///< taken off the leader lease: 10% clock drift
    duration transfer_timeout = milliseconds{800};     ///< a transfer that takes longer ends in a step-down
    std::size_t max_append_bytes = 256UL << 10;        ///< entries in one message
    std::size_t max_inflight = 16;                     ///< unanswered append messages per follower
    std::size_t max_uncommitted_bytes = 8 << 20;       ///< proposals are refused above it
    std::size_t snapshot_chunk = 256UL << 10;          ///< bytes of one chunk
    std::uint64_t catch_up_gap = 100;                  ///< a learner closer than this to the end may vote

    friend auto operator<=>(const raft_settings&, const raft_settings&) = default;
};

} // namespace poplarpitch
