#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/policy/interference_model.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

namespace poplarpitch {

/// A request on a fake worker.
struct fake_request {
    double end_ms = 0;
    std::size_t worker = 0;
};

/// A batch task on a fake worker.
struct fake_task {
    std::uint32_t batch = 0;
    double cores = 1;       ///< real processor demand
    double remaining_s = 1; ///< remaining work, in seconds on a worker of the new generation
    double unsaved_s = 0;   ///< work since the last checkpoint
    double reserved = 0;    ///< reserved cores; 0 reserves the real demand

    [[nodiscard]] double get_reserved() const { return reserved > 0 ? reserved : cores; }
};

/// A fake worker with what the policies see of a worker: slots, a speed and its tasks. A matrix hidden from
/// the policies determines how much each batch class slows each service. Network and daemons are not
/// modelled.
struct fake_worker {
    int slots = 8;
    int busy = 0;
    double speed = 1; ///< time for a piece of work relative to a worker of the new generation
    double cores = 64;
    std::vector<fake_task> tasks;

    /// Returns the real slowdown factor of a request to `service`, which the policies cannot see. The effect
    /// of tasks grows with the load, so a combination that is harmless at low load is harmful at high load.
    [[nodiscard]] double get_slowdown(const std::vector<std::vector<double>>& matrix,
                                      std::uint32_t service) const {
        double growth = 0;
        for (const auto& task : tasks) {
            growth += matrix[service][task.batch] * task.cores / cores;
        }
        const double load = static_cast<double>(busy) / slots;
        return speed * (1 + growth * (0.5 + load)) * (1 + 0.3 * load);
    }

    /// Returns the tasks as the entry knows them.
    [[nodiscard]] std::vector<co_runner> get_runners() const {
        std::vector<co_runner> runners;
        for (const auto& task : tasks) {
            runners.push_back({task.batch, task.get_reserved() / cores});
        }
        return runners;
    }
};

/// Returns the quantile `q` of `values`. Precondition: `values` is not empty.
inline double get_quantile(std::vector<double> values, double q) {
    const auto index = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace poplarpitch
