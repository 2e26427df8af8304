#include "poplarpitch/replica/founding.h"

namespace poplarpitch {

founding_decision decide_founding(node_id self, const std::vector<seed_status>& others) {
    raft_membership members;
    members = members.with_voter(self);
    bool is_complete = true;
    for (const auto& seed : others) {
        if (!seed.is_reached) {
            is_complete = false;
            continue;
        }
        if (seed.phase == node_phase::formed && !seed.members.voters.empty()) {
            if (seed.members.is_voter(self)) {
                return {founding_decision::kind::found, seed.members};
            }
            return {founding_decision::kind::join, {}};
        }
        if (seed.phase != node_phase::founding) {
            is_complete = false; // it joins a cluster that this node has not seen yet
            continue;
        }
        members = members.with_voter(seed.node);
    }
    if (!is_complete) {
        return {};
    }
    return {founding_decision::kind::found, members};
}

} // namespace poplarpitch
