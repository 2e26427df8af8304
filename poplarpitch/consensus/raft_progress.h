#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"

#include <cstddef>

namespace poplarpitch {

/// What a leader knows of one follower.
struct raft_progress {
    log_index match = 0;            ///< highest index known to be stored there
    log_index next = 1;             ///< next index to send
    log_index last_round_match = 0; ///< `match` at the last heartbeat; no progress since means a loss
    std::size_t inflight = 0;       ///< append messages without an answer
    std::uint64_t acked_round = 0;  ///< newest heartbeat round it answered
    time_point last_answer{};       ///< when it last answered
    bool is_sending_snapshot = false;
    log_index snapshot_index = 0;      ///< which snapshot is being sent
    std::uint64_t snapshot_offset = 0; ///< bytes of it that the follower holds

    friend bool operator==(const raft_progress&, const raft_progress&) = default;
};

} // namespace poplarpitch
