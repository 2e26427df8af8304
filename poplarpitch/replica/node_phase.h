#pragma once

#include <cstdint>

namespace poplarpitch {

/// Phase of a control instance on its way to membership. The values are part of the wire format.
enum class node_phase : std::uint8_t {
    founding = 1, ///< blank, and one of the founders of the cluster
    joining = 2,  ///< not a founder; waits to be added to the cluster
    formed = 3,   ///< has stored the founders, or that it joins; its node runs
};

} // namespace poplarpitch
