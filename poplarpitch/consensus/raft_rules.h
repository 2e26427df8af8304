#pragma once

#include <compare>

namespace poplarpitch {

/// The safety rules of the log, each on. Tests alone turn one off, to show that they find its absence.
struct raft_rules {
    bool vote_needs_complete_log = true; ///< Raft 5.4.1: a vote goes only to a log at least as complete
    bool one_vote_per_term = true;       ///< Raft 5.2
    bool commit_needs_own_term = true;  ///< Raft 5.4.2: older terms' entries commit only along with one's own
    bool append_checks_previous = true; ///< Raft 5.3: the entry before the new ones must match
    bool one_membership_change = true;  ///< the next change waits until the last one is committed
    bool membership_needs_own_term = true; ///< Ongaro's 2015 correction: commit in own term first
    bool read_needs_quorum_round = true;   ///< ReadIndex: leadership confirmed after the read came in
    bool quorum_is_majority = true;        ///< off: half of the voters is taken as enough

    friend auto operator<=>(const raft_rules&, const raft_rules&) = default;
};

} // namespace poplarpitch
