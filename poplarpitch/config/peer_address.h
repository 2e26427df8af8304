#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// The address at which a control instance listens for the project's own processes.
struct peer_address {
    std::uint64_t id = 0;  ///< member id in the replicated log, from 1
    std::string address;   ///< host:port
    bool is_spare = false; ///< not an initial voter; waits to be added as a learner

    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

} // namespace poplarpitch
