#include "poplarpitch/policy/eviction_candidate.h"

namespace poplarpitch {
namespace {

constexpr double min_growth = 0.02;        // moving a task that slows the services less is not worth its cost
constexpr double move_cost_seconds = 5;    // cost of a move besides the lost work
constexpr double repeat_cost_seconds = 30; // added for each earlier eviction

} // namespace

std::optional<std::size_t> pick_eviction(std::span<const eviction_candidate> candidates) {
    std::optional<std::size_t> best;
    double best_gain = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (!candidate.is_movable || candidate.growth < min_growth) {
            continue;
        }
        const double cost = move_cost_seconds + to_seconds(candidate.uncheckpointed_work) +
                            repeat_cost_seconds * candidate.evictions;
        const double gain = candidate.growth / cost;
        if (!best.has_value() || gain > best_gain) {
            best = index;
            best_gain = gain;
        }
    }
    return best;
}

} // namespace poplarpitch
