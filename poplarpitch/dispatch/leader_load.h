#pragma once

#include "poplarpitch/core/time.h"

#include <algorithm>
#include <compare>

namespace poplarpitch {

/// Measured load of the leader's thread.
struct leader_load {
    double busy_share = 0; ///< busy share of the thread's time, 0 to 1
    duration lag{};        ///< by which the thread's timers are late

    friend auto operator<=>(const leader_load&, const leader_load&) = default;

    /// Returns the strain of the thread, 0 to 1: 0 while there is room for a burst, 1 when the load exceeds
    /// what the thread can do. Thread safety: any thread.
    [[nodiscard]] double get_strain() const {
        constexpr double easy_share = 0.7;   // below this, queues stay short
        constexpr double heavy_share = 0.95; // from here on, queues grow without bound
        return std::clamp((busy_share - easy_share) / (heavy_share - easy_share), 0.0, 1.0);
    }
};

} // namespace poplarpitch
