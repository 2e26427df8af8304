#pragma once

#include "poplarpitch/consensus/raft_settings.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// How a control instance runs.
struct control_settings {
    raft_settings raft;
    std::uint64_t snapshot_entries = 5000; ///< a snapshot is taken after this many entries
    std::uint64_t kept_entries = 500;      ///< entries kept behind a snapshot for followers a little behind
    duration duty_interval = milliseconds{100}; ///< how often the leader places jobs and looks after sessions
    duration min_append_interval =
        milliseconds{20}; ///< least time between appends of what may wait: job commands
    duration peer_silence_timeout = milliseconds{1500}; ///< a peer silent for this gets a fresh connection
    duration voter_loss_timeout = seconds{60}; ///< a voter silent for this is replaced by a caught-up learner
    std::size_t max_assignments = 100;         ///< jobs placed in one turn of the duties

    friend auto operator<=>(const control_settings&, const control_settings&) = default;
};

} // namespace poplarpitch
