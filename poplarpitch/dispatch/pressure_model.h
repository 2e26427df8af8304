#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {

/// How calm a serving task is without the tasks that fill beside it.
struct serving_calm {
    double load = 0.5;      ///< share of its own capacity that it uses by itself; 0.5 until it is known
    double variance = 0.04; ///< of `load`

    friend bool operator==(const serving_calm&, const serving_calm&) = default;
};

/// Processor time that tasks of one image took of a worker, as a share of it.
struct image_share {
    std::string image;
    double share = 0;

    friend bool operator==(const image_share&, const image_share&) = default;
};

/// How strongly tasks that fill disturb the tails of tasks that serve, learned for each pair of images.
///
/// A tail behaves like a queue's: it is the tail without load over (1 - utilisation), and each filling task beside
/// it adds to the utilisation in proportion to the processor time it takes. Seen on workers of 64 and 96 cores: the
/// factor of that proportion lies near 0 for some pairs and at 3 to 5 for others, while the task's own load swings by
/// half within 14 s. Own load and factors are told apart by a Kalman filter with a diagonal covariance: the own load
/// drifts, the factors stay. A least-squares fit over a window was weighed: it forgets pairs that are rare.
/// Thread safety: none, as for all methods.
class pressure_model {
public:
    /// Notes the tail of a serving task of `image` that runs beside `others`; updates `calm` and what is known of
    /// the pairs.
    void observe(const std::string& image, double tail_ms, double target_ms, const std::vector<image_share>& others,
                 double seconds_since_last, serving_calm& calm);

    /// Returns the utilisation that a tail tells of, 0 to 1.
    [[nodiscard]] double get_utilisation(const std::string& image, double tail_ms, double target_ms) const;
    /// Returns the utilisation at which the tail reaches `share` of its target.
    [[nodiscard]] double get_limit(const std::string& image, double target_ms, double share) const;
    /// Returns the expected factor of a pair.
    [[nodiscard]] double get_factor(const std::string& serving, const std::string& filling) const;
    /// Returns the factor of a pair with an allowance for what is not known of it.
    [[nodiscard]] double get_careful_factor(const std::string& serving, const std::string& filling) const;

private:
    struct factor {
        double mean = 1.2;     ///< before anything is seen: between the light and the heavy pairs
        double variance = 2.2; ///< the heavy pairs lie two deviations off
    };
    using pair_key = std::pair<std::string, std::string>;

    [[nodiscard]] double get_base(const std::string& image, double target_ms) const;

    absl::flat_hash_map<pair_key, factor> m_factors;        ///< serving image, filling image
    absl::flat_hash_map<std::string, double> m_lowest_tails; ///< ms, by serving image
};

} // namespace poplarpitch
