#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"

#include <cstddef>

namespace poplarpitch {

/// Replication progress of one follower, as known to the leader.
struct raft_progress {
    log_index match = 0;                 ///< highest index known to be stored by the follower
    log_index next = 1;                  ///< next index to send
    log_index last_round_match = 0;      ///< `match` at the last heartbeat; if unchanged, messages were lost
    std::size_t inflight = 0;            ///< append messages without a response
    std::uint64_t acked_round = 0;       ///< newest heartbeat round it acknowledged
    time_point last_response{};          ///< time of its last response
    std::uint32_t unanswered_rounds = 0; ///< heartbeat rounds since its last response
    bool is_sending_snapshot = false;
    log_index snapshot_index = 0;      ///< index of the snapshot being sent
    std::uint64_t snapshot_offset = 0; ///< bytes of it that the follower has received

    /// Heartbeat rounds without a response after which a follower gets no entries.
    static constexpr std::uint32_t silent_after_rounds = 4;

    /// Returns true while the follower gets no entries. One whose disk is full or stalls for seconds would
    /// otherwise get the same entries again in each round. Thread safety: as the node.
    [[nodiscard]] bool is_silent() const { return unanswered_rounds > silent_after_rounds; }

    friend bool operator==(const raft_progress&, const raft_progress&) = default;
};

} // namespace poplarpitch
