#pragma once

#include "poplarpitch/config/objective_settings.h"
#include "poplarpitch/policy/task_placer.h"

namespace poplarpitch {

/// Weights and bounds of the placement cost, besides the operators' objective.
struct cost_placer_settings {
    float spread_weight =
        0.02F; ///< for each task of the tenant in the same rack, since a whole rack may be lost
    float waste_weight = 0.3F; ///< for leaving one resource idle while another is used up
    float accelerator_weight =
        0.5F; ///< for placing a task that needs no accelerators on a worker with free ones
    float slowdown_weight = 2.0F; ///< for a worker whose services are already slower than expected
    float max_slowdown = 3.0F; ///< with full tail weight, a worker with a higher slowdown gets no more tasks
    float max_growth = 0.6F;   ///< with full tail weight, a higher predicted growth of latency is refused
    double min_evidence = 50; ///< samples of a pair before its predicted growth may lead to a refusal: a pair
                              ///< that never runs is never learned

    friend auto operator<=>(const cost_placer_settings&, const cost_placer_settings&) = default;
};

/// Picks the worker with the lowest predicted cost. The cost weighs the growth of the services' latency,
/// predicted from the learned interference, against the task's run time on that worker, its spread over racks
/// and the resources it wastes. The operators' objective sets the weight of tail latency against throughput.
/// Urgent tasks ignore the refusal bounds. A probe ignores the bound of the learned growth: a class that is
/// refused everywhere would never be seen to have changed. Thread safety: none.
class cost_placer {
public:
    explicit cost_placer(const objective_settings& objective, const cost_placer_settings& settings = {});

    /// Returns the index of the picked worker, or nothing when no worker may take the task now.
    std::optional<std::size_t> pick(std::span<const placement_candidate> candidates,
                                    const placement_request& request,
                                    const interference_model& interference) const;

    /// Returns the predicted growth of the latency of the services on `candidate`, weighted by their request
    /// rates.
    [[nodiscard]] static float get_growth(const placement_candidate& candidate,
                                          const placement_request& request,
                                          const interference_model& interference);

private:
    [[nodiscard]] bool is_refused(const placement_candidate& candidate, const placement_request& request,
                                  float growth, const interference_model& interference) const;
    [[nodiscard]] float get_cost(const placement_candidate& candidate, const placement_request& request,
                                 float growth) const;

    cost_placer_settings m_settings;
    float m_tail_weight = 0.5F; ///< the objective's tail weight divided by the sum of tail and throughput
    float m_throughput_weight = 0.5F;
};

} // namespace poplarpitch
