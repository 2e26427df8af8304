#include "poplarpitch/control/cluster_bootstrap.h"

#include <algorithm>

namespace poplarpitch {

bootstrap_action decide_bootstrap(bool is_standby, const std::vector<peer_bootstrap_state>& initial_voters) {
    const auto has_cluster = [](const peer_bootstrap_state& peer) {
        return peer.is_reached && peer.has_cluster;
    };
    const auto lists_us_as_voter = [](const peer_bootstrap_state& peer) {
        return peer.is_own_id_voter;
    };
    if (std::any_of(initial_voters.begin(), initial_voters.end(), has_cluster)) {
        const bool is_refused = std::any_of(initial_voters.begin(), initial_voters.end(), lists_us_as_voter);
        return is_refused ? bootstrap_action::refuse : bootstrap_action::join;
    }
    if (is_standby) {
        return bootstrap_action::join;
    }
    const bool is_complete = std::all_of(initial_voters.begin(), initial_voters.end(),
                                         [](const peer_bootstrap_state& peer) { return peer.is_reached; });
    return is_complete ? bootstrap_action::create : bootstrap_action::wait;
}

raft_membership get_initial_voters(const std::vector<peer_address>& control) {
    raft_membership members;
    for (const auto& peer : control) {
        if (!peer.is_standby) {
            members = members.with_voter(peer.id);
        }
    }
    return members;
}

} // namespace poplarpitch
