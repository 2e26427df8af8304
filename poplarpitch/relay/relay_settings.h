#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// Settings for relaying between the leader and the other control instances.
struct relay_settings {
    bool is_enabled = true; ///< false: the leader calls all workers directly
    /// The leader sends a frame to each relay at least this often.
    duration max_frame_interval = milliseconds{100};
    /// A peer that sent nothing for longer is lost. Four times `max_frame_interval`.
    duration peer_timeout = milliseconds{400};
    /// Minimum time between two frames in one direction. Half the time of a sync, so that the orders of a
    /// commit are sent at once.
    duration min_frame_interval = milliseconds{3};
    /// Added to an order's own timeout, for the way to the relay and back.
    duration answer_slack = milliseconds{250};
    /// An instance that is no member of the log has announced itself to a new leader after this time: it
    /// searches for the leader four times a second.
    duration announcement_limit = seconds{2};
    /// A heartbeat is reported to a new leader for this long: two heartbeat intervals.
    duration report_lifetime = seconds{3};

    friend auto operator<=>(const relay_settings&, const relay_settings&) = default;
};

} // namespace poplarpitch
