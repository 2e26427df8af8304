#pragma once

#include "poplarpitch/config/objective_settings.h"
#include "poplarpitch/policy/task_placer.h"

namespace poplarpitch {

/// Weights of the placement cost, on top of the operators' objective.
struct cost_placer_settings {
    float spread_weight = 0.02F; ///< for each task of the tenant in the same rack: a rack may be lost
    float waste_weight = 0.3F;   ///< for leaving one resource idle while another is used up
    float accelerator_weight =
        0.5F;                     ///< for putting a task that needs none on a worker with free accelerators
    float slowdown_weight = 2.0F; ///< for a worker whose services run slower than expected already
    float max_slowdown = 3.0F;    ///< with full tail weight, a worker this slow gets no more tasks
    float max_growth = 0.6F;      ///< with full tail weight, a predicted growth above this is refused
    double min_evidence =
        50; ///< samples of a pair before its growth may refuse: what is never tried is never learned

    friend auto operator<=>(const cost_placer_settings&, const cost_placer_settings&) = default;
};

/// Picks the worker with the lowest predicted cost: the growth of its services' latency that the learned
/// interference predicts, weighed against how long the task would run there, how it spreads and what it
/// wastes. The operators' objective weighs tail against throughput; urgent tasks ignore the refusal bounds,
/// and a probe ignores what was learned: a class that is refused everywhere would never be seen to have
/// changed. Thread safety: none.
class cost_placer {
public:
    explicit cost_placer(const objective_settings& objective, const cost_placer_settings& settings = {});

    /// Returns the index of the worker, or nothing when none may take the task now.
    std::optional<std::size_t> pick(std::span<const placement_candidate> candidates,
                                    const placement_request& request,
                                    const interference_model& interference) const;

    /// Returns the predicted growth of the services' latency on `candidate`, weighed by their request rates.
    [[nodiscard]] static float get_growth(const placement_candidate& candidate,
                                          const placement_request& request,
                                          const interference_model& interference);

private:
    [[nodiscard]] bool is_refused(const placement_candidate& candidate, const placement_request& request,
                                  float growth, const interference_model& interference) const;
    [[nodiscard]] float get_cost(const placement_candidate& candidate, const placement_request& request,
                                 float growth) const;

    cost_placer_settings m_settings;
    float m_tail_weight = 0.5F; ///< objective's tail weight over tail plus throughput
    float m_throughput_weight = 0.5F;
};

} // namespace poplarpitch
