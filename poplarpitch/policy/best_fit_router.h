#pragma once

#include "poplarpitch/policy/request_router.h"

namespace poplarpitch {

/// Weights of the routing score.
struct best_fit_settings {
    float load_weight = 0.5F;     ///< relative growth of the expected time from an idle to a full worker
    float remote_penalty = 0.05F; ///< added to the score of a worker in another data centre
    float tie_width = 0.03F; ///< relative difference within which scores are tied; ties are broken at random

    friend auto operator<=>(const best_fit_settings&, const best_fit_settings&) = default;
};

/// Picks the worker with the lowest expected time. The entry that owns the workers has exact ledgers of them,
/// so the router scans all of them instead of sampling two; the scan is one pass over a dense table. Ties are
/// broken at random, so that entries with similar tables do not all pick the same worker. Thread safety:
/// none.
class best_fit_router {
public:
    explicit best_fit_router(const best_fit_settings& settings = {}) : m_settings(settings) {}

    /// Returns the index of the picked worker, or nothing when no worker has a free slot.
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates, routing_random& random);

    /// Returns the score of one candidate: its expected time relative to that of a typical worker.
    [[nodiscard]] float get_score(const routing_candidate& candidate) const;

private:
    best_fit_settings m_settings;
};

} // namespace poplarpitch
