#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <optional>

namespace poplarpitch {

class raft_node;

/// A change of the control membership that is due.
struct member_change {
    enum class kind : std::uint8_t { promote, remove } action = kind::promote;
    node_id node = 0;

    friend auto operator<=>(const member_change&, const member_change&) = default;
};

/// Replaces a voter that was silent for long by a learner that has caught up: promotes first, then removes,
/// so that the number of voters never falls below what the operators set up. Without a learner nothing is
/// done. Thread safety: none, as for all methods.
class voter_replacer {
public:
    explicit voter_replacer(duration voter_loss_timeout) : m_voter_loss_timeout(voter_loss_timeout) {}

    /// Starts a term of leadership: silence counts from here.
    void start(time_point now) { m_leading_since = now; }
    /// Returns the next change, if one is due.
    [[nodiscard]] std::optional<member_change> run(const raft_node& node, time_point now);

private:
    duration m_voter_loss_timeout;
    time_point m_leading_since{};
    node_id m_voter_to_remove = 0; ///< voter whose successor was promoted
};

} // namespace poplarpitch
