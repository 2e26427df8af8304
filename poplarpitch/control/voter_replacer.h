#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <optional>

namespace poplarpitch {

class raft_node;

/// A due change of the cluster membership.
struct member_change {
    enum class kind : std::uint8_t { promote, remove } action = kind::promote;
    node_id node = 0;

    friend auto operator<=>(const member_change&, const member_change&) = default;
};

/// Replaces a voter that has not answered for the timeout by a learner that has caught up. It promotes the
/// learner before it removes the voter, so the number of voters never falls below what the operators set up.
/// Without such a learner it does nothing. Thread safety: none, as for all methods.
class voter_replacer {
public:
    explicit voter_replacer(duration voter_loss_timeout) : m_voter_loss_timeout(voter_loss_timeout) {}

    /// Starts a term of leadership. Silence of a voter counts from `now` at the earliest.
    void start(time_point now) { m_leading_since = now; }
    /// Returns the next change, if one is due.
    [[nodiscard]] std::optional<member_change> run(const raft_node& node, time_point now);

private:
    duration m_voter_loss_timeout;
    time_point m_leading_since{};
    node_id m_voter_to_remove = 0; ///< voter whose replacement was promoted; 0 for none
};

} // namespace poplarpitch
