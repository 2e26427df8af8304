#pragma once

#include <compare>

namespace poplarpitch {

/// Safety rules of the replicated state, all enabled by default. Only tests disable a rule, to show that they
/// detect the violation.
struct state_rules {
    bool config_compares_version = true;     ///< a change applies only to the version that it was made for
    bool config_deduplicates_changes = true; ///< a resent change gets its first result
    bool job_compares_attempt = true;        ///< an event applies only to the attempt that it names
    bool job_waits_for_lease = true;         ///< a lost attempt blocks the next one until its lease expires
    bool unknown_is_final = true;   ///< a non-idempotent job of unknown outcome is not rerun automatically
    bool intent_begins_once = true; ///< a key that was begun is not begun again, unless it did not run
    bool epoch_is_compared = true;  ///< a command must name the worker's current epoch

    friend auto operator<=>(const state_rules&, const state_rules&) = default;
};

} // namespace poplarpitch
