#pragma once

#include "poplarpitch/config/daemon_settings.h"
#include "poplarpitch/consensus/raft_membership.h"
#include "poplarpitch/core/result.h"

#include <atomic>
#include <optional>
#include <vector>

namespace poplarpitch {

/// What an instance with a blank data folder learned from the status of one other initial voter.
struct peer_bootstrap_state {
    bool is_reached = false;
    bool has_cluster = false;     ///< its log has a committed entry
    bool is_own_id_voter = false; ///< its membership lists our node id as a voter
    friend auto operator<=>(const peer_bootstrap_state&, const peer_bootstrap_state&) = default;
};

/// What an instance with a blank data folder does next.
enum class bootstrap_action : std::uint8_t {
    wait,   ///< query the other initial voters again
    create, ///< all initial voters were reached and are blank: create the cluster
    join,   ///< a cluster exists without us as a voter, or we are a standby: wait to be added
    refuse, ///< the cluster lists us as a voter, but our data is lost
};

/// Decides what an instance with a blank data folder does next. The rules prevent that a lost disk loses
/// committed changes:
/// - A cluster is created only when every other initial voter was reached and has none.
/// - A voter that restarts without its files is refused, because the votes and entries that it confirmed are
///   lost. It must be removed from the cluster and added under a new node id.
/// Thread safety: any thread.
[[nodiscard]] bootstrap_action decide_bootstrap(bool is_standby,
                                                const std::vector<peer_bootstrap_state>& initial_voters);

/// Returns the membership that a cluster is created with: every instance of the settings that is not a
/// standby. Thread safety: any thread.
[[nodiscard]] raft_membership get_initial_voters(const std::vector<peer_address>& control);

} // namespace poplarpitch
