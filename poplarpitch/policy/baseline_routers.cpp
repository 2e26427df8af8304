#include "poplarpitch/policy/baseline_routers.h"

namespace poplarpitch {
namespace {

/// Returns the first candidate with a free slot at or after `start`, wrapping around at the end.
std::optional<std::size_t> find_free(std::span<const routing_candidate> candidates, std::size_t start) {
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto index = (start + step) % candidates.size();
        if (candidates[index].free_slots > 0) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t> random_router::pick(std::span<const routing_candidate> candidates,
                                               routing_random& random) const {
    return candidates.empty() ? std::nullopt : find_free(candidates, random() % candidates.size());
}

std::optional<std::size_t> round_robin_router::pick(std::span<const routing_candidate> candidates,
                                                    routing_random& /*random*/) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto found = find_free(candidates, next % candidates.size());
    next = found.value_or(next) + 1;
    return found;
}

std::optional<std::size_t> least_outstanding_router::pick(std::span<const routing_candidate> candidates,
                                                          routing_random& random) const {
    std::optional<std::size_t> best;
    const auto start = candidates.empty() ? 0 : random() % candidates.size();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto index = (start + step) % candidates.size();
        const bool is_better =
            !best.has_value() || candidates[index].outstanding < candidates[*best].outstanding;
        if (candidates[index].free_slots > 0 && is_better) {
            best = index;
        }
    }
    return best;
}

std::optional<std::size_t> two_choices_router::pick(std::span<const routing_candidate> candidates,
                                                    routing_random& random) const {
    const random_router any;
    const auto first = any.pick(candidates, random);
    const auto second = any.pick(candidates, random);
    if (!first.has_value()) {
        return std::nullopt;
    }
    return candidates[*second].outstanding < candidates[*first].outstanding ? second : first;
}

} // namespace poplarpitch
