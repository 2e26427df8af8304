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
    double cores = 1;    ///< that it really takes
    double left_s = 1;   ///< work that is left, in seconds on a new worker
    double saved_s = 0;  ///< work since the last checkpoint
    double reserved = 0; ///< cores set aside for it; 0 for what it takes

    [[nodiscard]] double get_reserved() const { return reserved > 0 ? reserved : cores; }
};

/// One fake worker at the policies' interface: slots, a speed, and a hidden matrix of how much each batch
/// class slows each service. Nothing of our network or daemons is modelled.
struct fake_worker {
    int slots = 8;
    int busy = 0;
    double speed = 1; ///< time over a new worker's
    double cores = 64;
    std::vector<fake_task> tasks;

    /// Returns the true factor on a request of `service`: hidden from the policies. The growth rises with the
    /// load, so a pairing that is harmless at night hurts at noon.
    [[nodiscard]] double get_factor(const std::vector<std::vector<double>>& matrix,
                                    std::uint32_t service) const {
        double growth = 0;
        for (const auto& task : tasks) {
            growth += matrix[service][task.batch] * task.cores / cores;
        }
        const double load = static_cast<double>(busy) / slots;
        return speed * (1 + growth * (0.5 + load)) * (1 + 0.3 * load);
    }

    /// Returns what the entry knows of its tasks.
    [[nodiscard]] std::vector<co_runner> get_runners() const {
        std::vector<co_runner> runners;
        for (const auto& task : tasks) {
            runners.push_back({task.batch, task.get_reserved() / cores});
        }
        return runners;
    }
};

/// Sorted copies' quantile. Precondition: `values` is not empty.
inline double get_quantile(std::vector<double> values, double q) {
    const auto place = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

} // namespace poplarpitch
