#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// `[system]`: timing of leases and reports, which is the same on every instance.
struct system_settings {
    duration session_lease = milliseconds{1500}; ///< an entry starts nothing after this time without renewal
    duration drift_margin = milliseconds{150}; ///< subtracted from each lease by its holder; 10% clock drift
    duration task_lease = seconds{10};         ///< a task stops itself after this time without renewal
    duration announce_interval = milliseconds{500}; ///< how often a target announces itself
    duration target_silence = milliseconds{1600};   ///< a target silent for this time gets no new work
    duration intent_lifetime = seconds{3600};       ///< how long an Idempotency-Key is kept
    duration job_retention = seconds{24 * 3600};    ///< how long an ended job is kept
    int max_attempts = 4;                           ///< failed attempts after which a job is parked

    friend auto operator<=>(const system_settings&, const system_settings&) = default;
};

} // namespace poplarpitch
