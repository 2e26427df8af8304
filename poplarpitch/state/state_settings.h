#pragma once

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// Limits of the replicated state. Must be equal on all control instances: they affect command results.
struct state_settings {
    std::size_t max_history = 100;       ///< configuration versions in the history
    std::size_t max_changes = 1000;      ///< stored change ids
    std::size_t max_intents = 50000;     ///< stored idempotency keys
    std::size_t max_intent_body = 16384; ///< bytes of a stored answer; a larger one is not stored
    std::size_t max_jobs = 200000;       ///< stored job records
    /// Bytes of all job records. A payload may have 64 KB, and instances are small.
    std::size_t max_job_bytes = 32 << 20;

    friend auto operator<=>(const state_settings&, const state_settings&) = default;
};

} // namespace poplarpitch
