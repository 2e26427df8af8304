#pragma once

#include "poplarpitch/consensus/raft_membership.h"
#include "poplarpitch/replica/node_phase.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace poplarpitch {

/// What a blank seed learned of another seed.
struct seed_status {
    bool is_reached = false;
    node_id node = 0;
    node_phase phase = node_phase::founding;
    raft_membership members; ///< that it knows of; empty while it is blank

    friend auto operator<=>(const seed_status&, const seed_status&) = default;
};

/// What a blank seed is to do.
struct founding_decision {
    enum class kind : std::uint8_t {
        wait,  ///< ask again
        found, ///< write `members` and take part
        join,  ///< there is a cluster without us
    };
    kind action = kind::wait;
    raft_membership members;

    friend auto operator<=>(const founding_decision&, const founding_decision&) = default;
};

/// Decides for a blank seed at the first start of the whole system. The founders are all seeds: each waits
/// until it has seen the numbers of all others, so all write the same members. A seed that has written them
/// already tells them to the others, in case it is the only one that has seen all. Thread safety: any thread.
[[nodiscard]] founding_decision decide_founding(node_id self, const std::vector<seed_status>& others);

} // namespace poplarpitch
