#include "poplarpitch/policy/baseline_placers.h"

namespace poplarpitch {

std::optional<std::size_t> first_fit_placer::pick(std::span<const placement_candidate> candidates,
                                                  const placement_request& request,
                                                  const interference_model& /*interference*/) const {
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates[index].is_open && candidates[index].free.can_fit(request.need)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> least_loaded_placer::pick(std::span<const placement_candidate> candidates,
                                                     const placement_request& request,
                                                     const interference_model& /*interference*/) const {
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const bool is_better =
            !best.has_value() || candidate.free.millicores > candidates[*best].free.millicores;
        if (candidate.is_open && candidate.free.can_fit(request.need) && is_better) {
            best = index;
        }
    }
    return best;
}

} // namespace poplarpitch
