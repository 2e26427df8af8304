#pragma once

#include "poplarpitch/config/daemon_settings.h"
#include "poplarpitch/consensus/raft_membership.h"
#include "poplarpitch/core/result.h"

#include <atomic>
#include <optional>
#include <vector>

namespace poplarpitch {

/// What an instance with a blank data folder learned about one other instance.
struct peer_bootstrap_state {
    bool is_reached = false;
    bool has_cluster = false;     ///< it holds a log with something committed
    bool is_own_id_voter = false; ///< the cluster counts our id among its voters
    friend auto operator<=>(const peer_bootstrap_state&, const peer_bootstrap_state&) = default;
};

/// What a blank instance is to do.
enum class bootstrap_action : std::uint8_t {
    wait,   ///< ask again
    create, ///< all initial voters were reached and are blank: create the cluster
    join,   ///< a cluster exists and does not know us: wait to be added
    refuse, ///< the cluster counts on us, but our disk is gone
};

/// Decides for a blank instance. The rules keep a lost disk from costing committed changes: a cluster is
/// founded only when every founder was seen without one, and a voter that comes back without its files is
/// refused, because the votes and entries it confirmed are gone with them. It must be removed and come back
/// under a new number. Thread safety: any thread.
[[nodiscard]] bootstrap_action decide_bootstrap(bool is_spare,
                                                const std::vector<peer_bootstrap_state>& initial_voters);

/// Returns the members that a cluster is founded with: all of the settings that are no spares. Thread safety:
/// any thread.
[[nodiscard]] raft_membership get_initial_voters(const std::vector<peer_address>& control);

} // namespace poplarpitch
