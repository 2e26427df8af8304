#pragma once

#include "poplarpitch/scheduling/pressure_factor.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {

/// Estimated load of a serving task without the filling tasks beside it.
struct serving_load {
    double load = 0.5;      ///< share of its own capacity that the task itself uses; 0.5 until it is known
    double variance = 0.04; ///< of `load`
    double smoothed_load = 0.5; ///< `load`, smoothed over `trend_smoothing_s`
    double trend = 0;           ///< change of `load` per second, from the lag of the smoothed load

    friend bool operator==(const serving_load&, const serving_load&) = default;

    /// Updates the trend after `seconds`. Thread safety: none.
    void update_trend(double seconds);
};

/// Time over which the trend of the own load is measured, seconds: short against its period of 14 to 20 s.
inline constexpr double trend_smoothing_s = 1.0;

/// Number of an image within one pressure model, so that decisions over all workers compare no strings.
using image_number = std::uint32_t;

/// Processor time that tasks of one image use on a worker, as a share of the worker.
struct image_share {
    image_number image = 0;
    double share = 0;

    friend bool operator==(const image_share&, const image_share&) = default;
};

/// Learns for each pair of images how strongly filling tasks raise the tail latency of serving tasks.
///
/// Filling tasks slow a serving task's answers by 1 + sum of factor x share of the worker, and queueing
/// amplifies this. With `base` as the tail without load, own load `load` and slowdown `slow`, the tail is
/// base x slow / (1 - load x slow). On workers of 64 and 96 cores, factors were observed below 0.8 for half
/// of the pairs and at 2 to 6 for the others. They are the same at every load, while the load varies by 50%
/// within 14 to 20 s. An additive model fits a third worse. An extended Kalman filter with a diagonal
/// covariance separates load and factors. It works on base / tail = 1 / slow - load, which is linear in the
/// load. Loads drift, factors stay. Thread safety: none, as for all methods.
class pressure_model {
public:
    /// Replaces the state with previously learned factors.
    void load(const std::vector<pressure_factor>& factors);
    /// Returns the learned factors of all observed pairs, sorted by image names.
    [[nodiscard]] std::vector<pressure_factor> save() const;
    /// Processes the tail of a serving task of `image` beside `others`. Updates `own_load` and the factors of
    /// the pairs.
    void observe(image_number image, double tail_ms, double target_ms, const std::vector<image_share>& others,
                 double seconds_since_last, serving_load& own_load);

    /// Returns the slowdown that filling tasks may cause, as sum of factor x share, before the tail of a
    /// serving task exceeds `share` of its target. Negative when the tail exceeds it without them.
    [[nodiscard]] double get_allowed_slowdown(image_number image, double target_ms, double share,
                                              double load) const;
    /// Returns the expected factor of a pair.
    [[nodiscard]] double get_factor(image_number serving, image_number filling) const;
    /// Returns the number of an image. Assigns a new one to an unknown image.
    image_number get_image_number(const std::string& image);
    /// Returns the conservative factors of a filling image beside every serving image, by the number of the
    /// latter.
    [[nodiscard]] std::vector<double> get_conservative_factors(image_number filling) const;
    /// Returns the factor of a pair plus an allowance for its uncertainty.
    [[nodiscard]] double get_conservative_factor(image_number serving, image_number filling) const;
    /// Returns the current share of a filling task's interference. Filling tasks have light and heavy phases
    /// that last for seconds, and in a light one use about two thirds of the requested processor time.
    [[nodiscard]] static double get_interference_share(double used_millicores, double requested_millicores);

private:
    struct factor {
        double mean = 1.2;     ///< prior: between the light and the heavy pairs
        double variance = 2.5; ///< prior: the heavy pairs are two standard deviations away
    };
    using pair_key = std::pair<image_number, image_number>;

    [[nodiscard]] double get_base(image_number image, double target_ms) const;

    absl::flat_hash_map<pair_key, factor> m_factors;          ///< serving image, filling image
    absl::flat_hash_map<image_number, double> m_lowest_tails; ///< ms, by serving image
    absl::flat_hash_map<std::string, image_number> m_numbers;
    std::vector<std::string> m_names; ///< by number
};

} // namespace poplarpitch
