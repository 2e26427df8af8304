#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// Where one control instance listens for the project's own processes.
struct peer_address {
    std::uint64_t id = 0;  ///< its number in the replicated log's membership, from 1
    std::string address;   ///< host:port
    bool is_spare = false; ///< does not found the cluster; waits to be added as a learner

    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

} // namespace poplarpitch
