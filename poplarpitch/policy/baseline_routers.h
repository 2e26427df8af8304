#pragma once

#include "poplarpitch/policy/request_router.h"

namespace poplarpitch {

/// Baseline: any worker with a free slot. Thread safety: none.
struct random_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates,
                                    routing_random& random) const;
};

/// Baseline: one after the other. Thread safety: none.
struct round_robin_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates, routing_random& random);
    std::size_t next = 0; ///< where the next search begins
};

/// Baseline: the fewest requests in flight. Thread safety: none.
struct least_outstanding_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates,
                                    routing_random& random) const;
};

/// Baseline: the less loaded of two at random (Mitzenmacher, 2001), blind to interference. Thread safety:
/// none.
struct two_choices_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates,
                                    routing_random& random) const;
};

} // namespace poplarpitch
