#pragma once

#include <cstdint>

namespace poplarpitch {

/// How far a control instance is in becoming a member. The numbers stand in frames between processes.
enum class node_phase : std::uint8_t {
    founding = 1, ///< blank, and one of those that found the cluster
    joining = 2,  ///< not a founder; waits to be added
    formed = 3,   ///< has written who the founders are, or that it joins; takes part
};

} // namespace poplarpitch
