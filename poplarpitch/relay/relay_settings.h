#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// Bounds of relaying between the leader and the other control instances.
struct relay_settings {
    bool is_enabled = true;                          ///< false: the leader calls all workers itself
    duration max_frame_interval = milliseconds{100}; ///< a frame goes to each relay at least this often
    duration peer_timeout = milliseconds{400};       ///< a relay not heard for longer is lost: four beats
    duration min_frame_interval =
        milliseconds{3}; ///< between two frames one way; half a sync, so a commit's orders go at once
    duration answer_slack =
        milliseconds{250};                 ///< over an order's own time, for the way to the relay and back
    duration report_lifetime = seconds{3}; ///< a heartbeat is told to a new leader for this long

    friend auto operator<=>(const relay_settings&, const relay_settings&) = default;
};

} // namespace poplarpitch
