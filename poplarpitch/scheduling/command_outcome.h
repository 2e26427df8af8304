#pragma once

#include <cstdint>

namespace poplarpitch {

/// Result of applying a committed command.
enum class command_outcome : std::uint8_t {
    applied,
    repeated, ///< already applied before; the answer is the same
    refused,  ///< conflicts with the state after earlier commands, or is of a newer version
};

} // namespace poplarpitch
