#pragma once

#include <cstdint>

namespace poplarpitch {

/// Phase of a control instance on its way to membership. The values are part of the wire format.
enum class node_phase : std::uint8_t {
    bootstrapping = 1, ///< blank, and one of the initial voters of the cluster
    joining = 2,       ///< not an initial voter; waits to be added to the cluster
    bootstrapped = 3,  ///< has stored the initial voters, or that it joins; its node runs
};

} // namespace poplarpitch
