#include "poplarpitch/policy/best_fit_router.h"

namespace poplarpitch {

float best_fit_router::get_score(const routing_candidate& candidate) const {
    const auto total = static_cast<float>(candidate.total_slots > 0 ? candidate.total_slots : 1);
    const float load = static_cast<float>(candidate.outstanding) / total;
    const float remote = candidate.is_local ? 0.0F : m_settings.remote_penalty;
    return candidate.factor * (1.0F + m_settings.load_weight * load) + remote;
}

std::optional<std::size_t> best_fit_router::pick(std::span<const routing_candidate> candidates,
                                                 routing_random& random) {
    // Hot loop: one pass. Reservoir sampling gives each of the tied candidates the same chance.
    std::size_t best = candidates.size();
    float best_score = 0;
    std::uint32_t tied_count = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (candidate.free_slots <= 0) {
            continue;
        }
        const float score = get_score(candidate);
        if (tied_count == 0 || score < best_score * (1.0F - m_settings.tie_width)) {
            best = index;
            best_score = score;
            tied_count = 1;
        } else if (score <= best_score * (1.0F + m_settings.tie_width)) {
            ++tied_count;
            if (random() % tied_count == 0) {
                best = index;
            }
        }
    }
    return best == candidates.size() ? std::nullopt : std::optional(best);
}

} // namespace poplarpitch
