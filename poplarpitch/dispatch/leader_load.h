#pragma once

#include "poplarpitch/core/time.h"

#include <algorithm>
#include <compare>

namespace poplarpitch {

/// How much the leader's thread has to do, as measured.
struct leader_load {
    double busy_share = 0; ///< of its time, 0 to 1
    duration lag{};        ///< by which its timers are late

    friend auto operator<=>(const leader_load&, const leader_load&) = default;

    /// Returns how far the load is on the way from what leaves room for a burst to what is more than the
    /// thread can do, 0 to 1. Thread safety: any thread.
    [[nodiscard]] double get_strain() const {
        constexpr double easy_share = 0.7;   // below it queues stay short
        constexpr double heavy_share = 0.95; // from here on they grow without end
        return std::clamp((busy_share - easy_share) / (heavy_share - easy_share), 0.0, 1.0);
    }
};

} // namespace poplarpitch
