#pragma once

#include "poplarpitch/policy/probe_timer.h"
#include "poplarpitch/policy/task_placer.h"

#include <optional>
#include <span>

namespace poplarpitch {

/// Returns the candidate that `placer` picks. Where it picks none and a probe of the task's class is due,
/// returns the one that it picks for a probe. Thread safety: none.
template <task_placer Placer>
std::optional<std::size_t> pick_or_probe(const Placer& placer,
                                         std::span<const placement_candidate> candidates,
                                         placement_request request, const interference_model& interference,
                                         probe_timer& probes, time_point now) {
    auto picked = placer.pick(candidates, request, interference);
    if (!picked.has_value() && probes.is_due(request.batch, now)) {
        request.is_probe = true;
        picked = placer.pick(candidates, request, interference);
        if (picked.has_value()) {
            probes.on_probed(request.batch, now);
        }
    }
    return picked;
}

} // namespace poplarpitch
