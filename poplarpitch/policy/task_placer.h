#pragma once

#include "poplarpitch/policy/placement_candidate.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

namespace poplarpitch {

/// A type that picks a worker for a task, or none. Production uses `cost_placer`; the baselines are kept for
/// comparison.
template <class T>
concept task_placer = requires(T& placer, std::span<const placement_candidate> candidates,
                               const placement_request& request, const interference_model& interference) {
    { placer.pick(candidates, request, interference) } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace poplarpitch
