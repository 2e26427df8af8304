#pragma once

#include "poplarpitch/consensus/raft_settings.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Intervals and bounds of a control instance.
struct control_settings {
    raft_settings raft;
    std::uint64_t snapshot_entries = 5000; ///< applied entries after which a snapshot is taken
    std::uint64_t kept_entries = 500; ///< log entries kept before a snapshot for followers that lag a little
    duration duty_interval = milliseconds{100}; ///< between two runs of the leader's duties
    duration min_append_interval =
        milliseconds{20}; ///< least time between two appends of deferrable commands (those of jobs)
    duration peer_silence_timeout = milliseconds{1500}; ///< reconnects to a peer silent for longer
    duration voter_loss_timeout =
        seconds{60};                   ///< a voter silent for longer is replaced by a caught-up learner
    std::size_t max_assignments = 100; ///< commands of the job scheduler in one run of the duties

    friend auto operator<=>(const control_settings&, const control_settings&) = default;
};

} // namespace poplarpitch
