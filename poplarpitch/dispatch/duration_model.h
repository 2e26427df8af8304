#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace poplarpitch::job_wire {
class learned_durations;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

/// Predicts how long steps take, learned for each queue from the steps that ended.
///
/// Callers' estimates are often off by a factor of two and more in either direction, while the steps of one
/// queue are much alike. A linear regression of log(actual / estimate) on log(estimate) determines how much
/// information an estimate has. Where estimates carry no information, the prediction is the queue's usual
/// duration. Where they are exact, it is the estimate itself. Until a step has ended, the estimate is used
/// unchanged. Thread safety: none, as for all methods.
class duration_model {
public:
    /// Adds a step that took `actual_ms` and was estimated at `estimate_ms`. Durations under 1 ms are
    /// ignored.
    void observe(const std::string& queue, std::int64_t estimate_ms, std::int64_t actual_ms);
    /// Returns the predicted duration of a step with this estimate, in milliseconds. Returns the estimate
    /// itself where the queue has no observations.
    [[nodiscard]] std::int64_t predict(const std::string& queue, std::int64_t estimate_ms) const;
    /// Adds the sums of each queue to a message, those with the most observations first.
    void save(job_wire::learned_durations& message) const;
    /// Replaces all observations. Queues whose sums no steps can have are left out.
    void load(const job_wire::learned_durations& message);
    /// Removes all observations.
    void clear() { m_queues.clear(); }

private:
    /// Sums over the observed steps: x is the logarithm of an estimate, y that of actual / estimate.
    struct sums {
        double count = 0;
        double x = 0;
        double xx = 0;
        double y = 0;
        double xy = 0;

        /// Returns true when steps can have these sums.
        [[nodiscard]] bool is_plausible() const;
    };

    absl::flat_hash_map<std::string, sums> m_queues;
};

} // namespace poplarpitch
