#pragma once

#include "poplarpitch/policy/task_placer.h"

namespace poplarpitch {

/// Baseline placer: picks the first worker that the task fits on. Thread safety: any thread.
struct first_fit_placer {
    std::optional<std::size_t> pick(std::span<const placement_candidate> candidates,
                                    const placement_request& request,
                                    const interference_model& interference) const;
};

/// Baseline placer: picks the worker with the most free cores. Thread safety: any thread.
struct least_loaded_placer {
    std::optional<std::size_t> pick(std::span<const placement_candidate> candidates,
                                    const placement_request& request,
                                    const interference_model& interference) const;
};

} // namespace poplarpitch
