#pragma once

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// Bounds of the replicated state; the same on every control instance, since they decide what commands do.
struct state_settings {
    std::size_t max_history = 100;       ///< configuration versions kept
    std::size_t max_changes = 1000;      ///< change ids remembered
    std::size_t max_intents = 50000;     ///< idempotency keys remembered
    std::size_t max_intent_body = 16384; ///< bytes of a recorded answer; a larger one is not recorded
    std::size_t max_jobs = 200000;       ///< job records kept
    std::size_t max_job_bytes =
        32 << 20; ///< of all job records: payloads may have 64 KB each, instances are small

    friend auto operator<=>(const state_settings&, const state_settings&) = default;
};

} // namespace poplarpitch
