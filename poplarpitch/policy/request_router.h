#pragma once

#include "poplarpitch/policy/routing_candidate.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace poplarpitch {

/// Random number generator for routing; seeded, so that the same input gives the same choices.
using routing_random = std::minstd_rand;

/// A type that picks a worker with a free slot for a request, or none. Production uses `best_fit_router`; the
/// baselines are kept for comparison.
template <class T>
concept request_router = requires(T& router, std::span<const routing_candidate> candidates,
                                  routing_random& random) {
    { router.pick(candidates, random) } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace poplarpitch
