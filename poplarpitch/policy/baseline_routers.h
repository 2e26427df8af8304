#pragma once

#include "poplarpitch/policy/request_router.h"

namespace poplarpitch {

/// Baseline router: picks a random worker with a free slot. Thread safety: none.
struct random_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates,
                                    routing_random& random) const;
};

/// Baseline router: picks the workers in turn. Thread safety: none.
struct round_robin_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates, routing_random& random);
    std::size_t next = 0; ///< index at which the next search starts
};

/// Baseline router: picks the worker with the fewest requests in flight. Thread safety: none.
struct least_outstanding_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates,
                                    routing_random& random) const;
};

/// Baseline router: picks the less loaded of two random workers (Mitzenmacher, 2001) and ignores
/// interference. Thread safety: none.
struct two_choices_router {
    std::optional<std::size_t> pick(std::span<const routing_candidate> candidates,
                                    routing_random& random) const;
};

} // namespace poplarpitch
