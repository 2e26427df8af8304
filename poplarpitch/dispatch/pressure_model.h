#pragma once

#include "poplarpitch/scheduling/pressure_factor.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {

/// How calm a serving task is without the tasks that fill beside it.
struct serving_load {
    double load = 0.5;          ///< share of its own capacity that it uses by itself; 0.5 until it is known
    double variance = 0.04;     ///< of `load`
    double smoothed_load = 0.5; ///< `load`, smoothed over `trend_smoothing_s`
    double trend = 0;           ///< of `load`, a second; the lag of the smoothed one over its time

    friend bool operator==(const serving_load&, const serving_load&) = default;

    /// Moves the trend on by `seconds`. Thread safety: none.
    void update_trend(double seconds);
};

/// Time over which the trend of an own load is taken, seconds: short against its swing of 14 to 20 s.
inline constexpr double trend_smoothing_s = 1.0;

/// Number of an image within one pressure model, so that decisions over all workers compare no names.
using image_number = std::uint32_t;

/// Processor time that tasks of one image take of a worker, as a share of it.
struct image_share {
    image_number image = 0;
    double share = 0;

    friend bool operator==(const image_share&, const image_share&) = default;
};

/// How strongly tasks that fill disturb the tails of tasks that serve, learned for each pair of images.
///
/// Filling tasks slow a serving task's answers by 1 + sum of factor x share of the worker; a queue does the
/// rest: with the tail without load `base`, own load `load` and slowdown `slow` the tail is base x slow / (1
/// - load x slow). On workers of 64 and 96 cores the factor was seen to lie under 0.8 for half of the pairs
/// and at 2 to 6 for the others, the same at every load, while the load swings by half within 14 to 20 s; an
/// additive model fits a third worse. Load and factors are told apart by an extended Kalman filter with a
/// diagonal covariance on base / tail = 1 / slow - load, which is linear in the load: loads drift, factors
/// stay. Thread safety: none, as for all methods.
class pressure_model {
public:
    /// Forgets all and begins with what was learned before.
    void load(const std::vector<pressure_factor>& factors);
    /// Returns what was learned of the pairs that were seen, in the order of their names.
    [[nodiscard]] std::vector<pressure_factor> save() const;
    /// Notes the tail of a serving task of `image` beside `others`; updates `calm` and what is known of the
    /// pairs.
    void observe(image_number image, double tail_ms, double target_ms, const std::vector<image_share>& others,
                 double seconds_since_last, serving_load& own_load);

    /// Returns by how much filling tasks may slow a serving task, sum of factor x share, before its tail
    /// passes `share` of its target. Negative when it passes it by itself.
    [[nodiscard]] double get_room(image_number image, double target_ms, double share, double load) const;
    /// Returns the expected factor of a pair.
    [[nodiscard]] double get_factor(image_number serving, image_number filling) const;
    /// Returns the number of an image; a new one where it has none yet.
    image_number get_number(const std::string& image);
    /// Returns the careful factors of a filling image beside every serving image, by the number of that one.
    [[nodiscard]] std::vector<double> get_conservative_factors(image_number filling) const;
    /// Returns the factor of a pair with an allowance for what is not known of it.
    [[nodiscard]] double get_conservative_factor(image_number serving, image_number filling) const;
    /// Returns the share of its pressure that a filling task exerts at present: it has light and heavy phases
    /// that last for seconds, and in a light one it uses about two thirds of the processor time it asked for.
    [[nodiscard]] static double get_phase(double used_millicores, double asked_millicores);

private:
    struct factor {
        double mean = 1.2;     ///< before anything is seen: between the light and the heavy pairs
        double variance = 2.5; ///< the heavy pairs lie two deviations off
    };
    using pair_key = std::pair<image_number, image_number>;

    [[nodiscard]] double get_base(image_number image, double target_ms) const;

    absl::flat_hash_map<pair_key, factor> m_factors;          ///< serving image, filling image
    absl::flat_hash_map<image_number, double> m_lowest_tails; ///< ms, by serving image
    absl::flat_hash_map<std::string, image_number> m_numbers;
    std::vector<std::string> m_names; ///< by number
};

} // namespace poplarpitch
