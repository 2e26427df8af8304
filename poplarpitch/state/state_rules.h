#pragma once

#include <compare>

namespace poplarpitch {

/// The safety rules of the replicated state, each on. Tests alone turn one off, to show that they find its
/// absence.
struct state_rules {
    bool config_compares_version = true;     ///< a change applies only to the version it was made for
    bool config_deduplicates_changes = true; ///< a resent change gets its first answer
    bool job_compares_attempt = true;        ///< an event applies only to the attempt it tells of
    bool job_waits_for_lease = true;         ///< a lost attempt blocks the next one until its lease is over
    bool unknown_is_final = true;   ///< a non-idempotent job of unknown outcome is not run again by itself
    bool intent_begins_once = true; ///< a key that was begun is never begun again
    bool epoch_is_compared = true;  ///< an assignment names the worker's present epoch

    friend auto operator<=>(const state_rules&, const state_rules&) = default;
};

} // namespace poplarpitch
