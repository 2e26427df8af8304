#pragma once

#include "poplarpitch/consensus/raft_membership.h"
#include "poplarpitch/consensus/raft_progress.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace poplarpitch {

/// One step of a change of the members.
struct member_step {
    enum class kind : std::uint8_t { add_learner, promote, remove };
    kind action = kind::add_learner;
    node_id node = 0;

    friend auto operator<=>(const member_step&, const member_step&) = default;
};

/// What the planner looks at.
struct membership_view {
    raft_membership members;
    std::map<node_id, raft_progress> progress; ///< what the leader knows of the others
    node_id self = 0;
    log_index last_index = 0;
    time_point leading_since{};
};

/// Decides how the members change: up to the wanted number of voters, lost disks and lost instances replaced.
///
/// An instance that asks to join under a new number while its old one is a member has lost its disk: the old
/// number goes first, since it can never confirm anything again and each of its kind lowers what else may be
/// lost. A silent voter goes only when a learner that has caught up can take its place at once.
/// Thread safety: none, as for all methods.
class member_planner {
public:
    member_planner(std::size_t voters, duration voter_loss);

    /// Notes that a node that is not a member asked to be one.
    void on_join(node_id node, time_point now);
    /// Forgets who asked, at the start of a term of leadership.
    void clear() { m_candidates.clear(); }
    /// Returns the next step, or nothing. One step is under way at a time.
    [[nodiscard]] std::optional<member_step> plan(const membership_view& view, time_point now) const;

private:
    [[nodiscard]] std::optional<member_step> replace_lost_disk(const membership_view& view,
                                                               time_point now) const;
    [[nodiscard]] std::optional<member_step> promote_learner(const membership_view& view,
                                                             time_point now) const;
    [[nodiscard]] node_id find_silent_voter(const membership_view& view, time_point now) const;
    [[nodiscard]] bool is_candidate(node_id node, time_point now) const;

    std::size_t m_voters;
    duration m_voter_loss;
    std::map<node_id, time_point> m_candidates; ///< when each last asked
};

} // namespace poplarpitch
