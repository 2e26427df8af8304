#pragma once

#include "poplarpitch/policy/request_router.h"

namespace poplarpitch {

/// Weights of the routing score.
struct best_fit_settings {
    float load_weight = 0.5F;     ///< growth of the expected time from an idle to a full worker
    float remote_penalty = 0.05F; ///< added for another data centre
    float tie_width = 0.03F;      ///< scores this close are equal; the choice among them is random

    friend auto operator<=>(const best_fit_settings&, const best_fit_settings&) = default;
};

/// Picks the worker with the lowest expected time. An owner's ledgers are exact, so it scans them all instead
/// of sampling two: the scan is one pass over a dense table. Near-equals are chosen among at random, so that
/// entries with like tables do not all pile on one worker. Thread safety: none.
class best_fit_router {
public:
    explicit best_fit_router(const best_fit_settings& settings = {}) : m_settings(settings) {}

    /// Returns the index of the worker, or nothing when none has a free slot.
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates, routing_random& random);

    /// Returns the score of one candidate: expected time over the ordinary.
    [[nodiscard]] float get_score(const routing_candidate& candidate) const;

private:
    best_fit_settings m_settings;
};

} // namespace poplarpitch
