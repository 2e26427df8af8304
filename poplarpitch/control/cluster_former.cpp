#include "poplarpitch/control/cluster_former.h"

#include <algorithm>

namespace poplarpitch {

forming_decision decide_forming(bool is_spare, const std::vector<peer_sighting>& founders) {
    const auto has_cluster = [](const peer_sighting& peer) {
        return peer.is_reached && peer.has_cluster;
    };
    const auto counts_on_us = [](const peer_sighting& peer) {
        return peer.is_own_id_voter;
    };
    if (std::any_of(founders.begin(), founders.end(), has_cluster)) {
        const bool is_refused = std::any_of(founders.begin(), founders.end(), counts_on_us);
        return is_refused ? forming_decision::refuse : forming_decision::join;
    }
    if (is_spare) {
        return forming_decision::join;
    }
    const bool is_complete = std::all_of(founders.begin(), founders.end(),
                                         [](const peer_sighting& peer) { return peer.is_reached; });
    return is_complete ? forming_decision::found : forming_decision::wait;
}

raft_membership get_founders(const std::vector<peer_address>& control) {
    raft_membership members;
    for (const auto& peer : control) {
        if (!peer.is_spare) {
            members = members.with_voter(peer.id);
        }
    }
    return members;
}

} // namespace poplarpitch
