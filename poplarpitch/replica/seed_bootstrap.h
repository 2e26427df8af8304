#pragma once

#include "poplarpitch/consensus/raft_membership.h"
#include "poplarpitch/replica/node_phase.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace poplarpitch {

/// What a blank seed knows about another seed.
struct seed_status {
    bool is_reached = false;
    node_id node = 0;
    node_phase phase = node_phase::bootstrapping;
    raft_membership members; ///< the members that it knows; empty while it is blank

    friend auto operator<=>(const seed_status&, const seed_status&) = default;
};

/// What a blank seed should do next.
struct bootstrap_decision {
    enum class kind : std::uint8_t {
        wait,   ///< request the statuses again
        create, ///< store `members` as the initial voters and start the node
        join,   ///< a cluster exists already, without this node
    };
    kind action = kind::wait;
    raft_membership members;

    friend auto operator<=>(const bootstrap_decision&, const bootstrap_decision&) = default;
};

/// Decides what a blank seed does when the whole system starts for the first time.
///
/// All seeds are initial voters. Each waits until it knows the node IDs of all others, so that all store the
/// same members. A seed that has stored them reports them in its status, because it may be the only one that
/// has seen all others. Thread safety: any thread.
[[nodiscard]] bootstrap_decision decide_seed_bootstrap(node_id self, const std::vector<seed_status>& others);

} // namespace poplarpitch
