#pragma once

#include "poplarpitch/consensus/raft_membership.h"
#include "poplarpitch/consensus/raft_progress.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// One step of a membership change.
struct member_step {
    enum class kind : std::uint8_t { add_learner, promote, remove };
    kind action = kind::add_learner;
    node_id node = 0;

    friend auto operator<=>(const member_step&, const member_step&) = default;
};

/// The input of the planner.
struct membership_view {
    raft_membership members;
    std::map<node_id, raft_progress> progress; ///< replication progress of the other members
    node_id self = 0;
    log_index last_index = 0;
    time_point leading_since{};
    /// The data centres of instances, by address. An instance without one is in a data centre of its own.
    std::map<std::uint32_t, std::string> data_centres;
};

/// Decides how the membership changes: adds voters up to the wanted number, and replaces lost disks and lost
/// instances.
///
/// An instance that requests to join with a new node ID while its old one is a member has lost its disk. The
/// old ID is removed first: it can never acknowledge an entry again, and each such member lowers the number
/// of further losses that are tolerated. Of several nodes that request to join, the one whose data centre has
/// the fewest members is added, so that the loss of one data centre costs as few voters as possible. A silent
/// voter is removed only when a learner that has caught up can
/// take its place at once. Thread safety: none, as for all methods.
class member_planner {
public:
    member_planner(std::size_t voters, duration voter_loss_timeout);

    /// Called when a node that is not a member requests to join.
    void on_join(node_id node, time_point now);
    /// Returns the nodes that requested to join recently, and may be members by now.
    [[nodiscard]] std::vector<node_id> get_candidates(time_point now) const;
    /// Removes all candidates. Called at the start of a term of leadership.
    void clear() { m_candidates.clear(); }
    /// Returns the next step, or nothing. Only one step is in progress at a time.
    [[nodiscard]] std::optional<member_step> plan(const membership_view& view, time_point now) const;

private:
    [[nodiscard]] std::optional<member_step> replace_lost_disk(const membership_view& view,
                                                               time_point now) const;
    [[nodiscard]] std::optional<member_step> promote_learner(const membership_view& view,
                                                             time_point now) const;
    [[nodiscard]] node_id find_silent_voter(const membership_view& view, time_point now) const;
    [[nodiscard]] bool is_candidate(node_id node, time_point now) const;
    /// Returns the candidate to add next, or 0 where there is none.
    [[nodiscard]] node_id choose_candidate(const membership_view& view, time_point now) const;

    std::size_t m_voters;
    duration m_voter_loss_timeout;
    std::map<node_id, time_point> m_candidates; ///< time of the last join request of each
};

} // namespace poplarpitch
