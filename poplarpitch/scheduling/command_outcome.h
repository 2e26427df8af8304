#pragma once

#include <cstdint>

namespace poplarpitch {

/// What became of a committed command.
enum class command_outcome : std::uint8_t {
    applied,
    repeated, ///< it had been applied before; the answer is the same
    refused,  ///< it does not fit what was committed before it
};

} // namespace poplarpitch
