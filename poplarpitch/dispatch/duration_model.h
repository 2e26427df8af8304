#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace poplarpitch {

/// How long steps really take, learned for each queue from those that ended.
///
/// Callers' guesses are often off by a factor of two and more, either way, while the steps of one queue are
/// much alike. A linear regression of log(actual / guess) on log(guess) finds how much a guess is worth:
/// where it tells nothing, the prediction is the queue's usual length, where it is exact, the guess itself.
/// Until something is seen the guess is taken as it is. Thread safety: none, as for all methods.
class duration_model {
public:
    /// Notes a step that took `actual_ms` and was guessed to take `estimate_ms`. Lengths under 1 ms are
    /// ignored.
    void observe(const std::string& queue, std::int64_t estimate_ms, std::int64_t actual_ms);
    /// Returns how long a step with this guess will probably take, milliseconds; the guess itself where
    /// nothing is known of the queue.
    [[nodiscard]] std::int64_t predict(const std::string& queue, std::int64_t estimate_ms) const;
    /// Forgets all.
    void clear() { m_queues.clear(); }

private:
    /// Sums over the steps seen: x is the logarithm of a guess, y that of actual / guess.
    struct sums {
        double count = 0;
        double x = 0;
        double xx = 0;
        double y = 0;
        double xy = 0;
    };

    absl::flat_hash_map<std::string, sums> m_queues;
};

} // namespace poplarpitch
