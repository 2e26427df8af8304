#pragma once

#include <compare>

namespace poplarpitch {

/// Safety rules of the replicated log, all enabled by default. Only tests disable a rule, to show that they
/// detect the violation.
struct raft_rules {
    bool vote_needs_complete_log = true;   ///< Raft 5.4.1: vote only for a log at least as complete
    bool one_vote_per_term = true;         ///< Raft 5.2
    bool commit_needs_own_term = true;     ///< Raft 5.4.2: older entries commit only with one of the own term
    bool append_checks_previous = true;    ///< Raft 5.3: the entry before the new ones must match
    bool one_membership_change = true;     ///< a change starts only after the last one is committed
    bool membership_needs_own_term = true; ///< Ongaro's 2015 correction: first commit in the own term
    bool read_needs_quorum_round = true;   ///< ReadIndex: leadership is confirmed after the read arrives
    bool quorum_is_majority = true;        ///< off: half of the voters form a quorum

    friend auto operator<=>(const raft_rules&, const raft_rules&) = default;
};

} // namespace poplarpitch
