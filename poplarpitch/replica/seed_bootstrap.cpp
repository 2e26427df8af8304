#include "poplarpitch/replica/seed_bootstrap.h"

namespace poplarpitch {

bootstrap_decision decide_seed_bootstrap(node_id self, const std::vector<seed_status>& others) {
    raft_membership members;
    members = members.with_voter(self);
    bool is_complete = true;
    for (const auto& seed : others) {
        if (!seed.is_reached) {
            is_complete = false;
            continue;
        }
        if (seed.phase == node_phase::bootstrapped && !seed.members.voters.empty()) {
            if (seed.members.is_voter(self)) {
                return {bootstrap_decision::kind::create, seed.members};
            }
            return {bootstrap_decision::kind::join, {}};
        }
        if (seed.phase != node_phase::bootstrapping) {
            is_complete = false; // it joins a cluster that this node has not seen yet
            continue;
        }
        members = members.with_voter(seed.node);
    }
    if (!is_complete) {
        return {};
    }
    return {bootstrap_decision::kind::create, members};
}

} // namespace poplarpitch
