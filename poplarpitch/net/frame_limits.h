#pragma once

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// Limits on the frames of one connection, in bytes.
struct frame_limits {
    std::size_t max_frame = 64U << 20; ///< of a received frame; a longer one closes the connection
    std::size_t max_unsent =
        16U << 20; ///< waiting for a peer that may have stopped reading; then it is closed

    friend auto operator<=>(const frame_limits&, const frame_limits&) = default;
};

} // namespace poplarpitch
