#pragma once

#include <cstdint>

namespace poplarpitch {

/// What the peers of a worker's machine notice when it is lost for good.
enum class worker_loss : std::uint8_t {
    silent, ///< nothing: packets to the machine are dropped, as when it loses power
    reset,  ///< its connections are closed and new ones are refused
};

} // namespace poplarpitch
