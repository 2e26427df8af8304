#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Bounds and figures of the leader's dispatcher. Those of the deployment come from its settings file.
struct dispatch_settings {
    duration lease = seconds{7}; ///< of what runs on a worker; outlasts an election and a restart of all
                                 ///< control instances (1 to 5 s); a lost worker's tasks wait this long
    duration longest_lease = seconds{10};      ///< a worker shortens a longer one
    double clock_drift = 0.02;                 ///< a worker's clock may be this much slower
    duration lease_margin = milliseconds{250}; ///< on top of the drift: reading the clocks, scheduling
    duration hold_wait = milliseconds{1000};   ///< longest wait for an end; also how old progress may get
    duration mixed_hold_wait =
        milliseconds{350}; ///< the same where tasks that fill run beside tasks that serve
    duration hold_pause =
        milliseconds{25}; ///< between an answer and the next hold, so that ends come together
    duration order_timeout =
        milliseconds{900}; ///< a worker answers within milliseconds; orders that hang are repeated
    duration retry_pause = milliseconds{120}; ///< before an order without an answer is repeated
    duration stop_limit = milliseconds{900};  ///< a worker ends a stopped run within this
    duration forget_after = seconds{12};      ///< a worker without heartbeat and without runs is dropped
    duration forget_lapsed_after =
        seconds{60}; ///< the same where runs of it were given up unheard: its machine may yet come back
    duration room_age =
        seconds{2}; ///< what a worker told of its room holds this long where it does not guard it: with an
                    ///< order's time and a late heartbeat less than the 3 s and one beat that users allow
    duration keep_ended = seconds{125}; ///< state of an ended job is kept this long
    double lasting_share = 0.8; ///< of a pool, that jobs which last may reserve while others want the rest:
                                ///< at 0.75 and 0.82 as much is served in all, above it less
    duration most_lag =
        milliseconds{400};               ///< of the leader's timers, beyond which no new jobs are taken: half
                                         ///< an order's time, so that what is accepted is still started
    std::int64_t max_open_jobs = 20'000; ///< more are refused: 60 MB of records, an hour of a day's peak

    friend auto operator<=>(const dispatch_settings&, const dispatch_settings&) = default;
};

} // namespace poplarpitch
