#pragma once

#include <absl/container/flat_hash_map.h>

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace poplarpitch {

/// How much of a worker a batch class has: its tasks' cores over the worker's.
struct co_runner {
    std::uint32_t batch = 0; ///< dense number of the batch class
    double share = 0;        ///< 0 to 1

    friend auto operator<=>(const co_runner&, const co_runner&) = default;
};

/// Learning of the interference model.
struct interference_settings {
    double prior_weight = 20;        ///< samples that the operators' prior counts for
    double memory_samples = 5000;    ///< samples after which old ones have faded: pairings change with load
    double max_slowdown = 20;        ///< samples above are cut, so one outlier cannot poison an estimate
    double upper_bound_errors = 1.0; ///< standard errors added to an estimate when placing

    friend auto operator<=>(const interference_settings&, const interference_settings&) = default;
};

/// How much each batch class slows each service. A request's time over what it would take alone on that
/// worker is taken as 1 + sum(coefficient x share) over the batch tasks that ran beside it when it started.
/// These co-runners are known to the entry at once, so unlike the workers' usage reports the samples have no
/// lag. Each sample moves the coefficients by normalised least mean squares with a step that falls with the
/// evidence (Widrow and Hoff, 1960): a constant cost, no matrix, and it follows pairings that change with
/// load. Thread safety: none, as for all methods.
class interference_model {
public:
    explicit interference_model(const interference_settings& settings = {});

    /// Sets the operators' prior for a batch class, from then on for pairs without samples.
    void set_prior(std::uint32_t batch, double coefficient);
    /// Takes one request: `slowdown` is its time over the expected time alone, `runners` what ran beside it.
    void add(std::uint32_t service, std::span<const co_runner> runners, double slowdown);

    /// Puts an estimate made elsewhere in place of what is known of a pair.
    void set_estimate(std::uint32_t service, std::uint32_t batch, double coefficient, double evidence);

    /// Returns the factor, at least 1, that `runners` put on a request of `service`.
    [[nodiscard]] double predict(std::uint32_t service, std::span<const co_runner> runners) const;
    /// Returns the coefficient of a pair: the growth at a share of 1.
    [[nodiscard]] double get_coefficient(std::uint32_t service, std::uint32_t batch) const;
    /// Returns the coefficient with the uncertainty added that placement should fear.
    [[nodiscard]] double get_coefficient_upper_bound(std::uint32_t service, std::uint32_t batch) const;
    /// Returns how many samples, faded, stand behind a pair.
    [[nodiscard]] double get_evidence(std::uint32_t service, std::uint32_t batch) const;

private:
    struct pair_estimate {
        double coefficient = 0;
        double evidence = 0; ///< faded samples
        double variance = 0; ///< of the error
    };

    [[nodiscard]] const pair_estimate* find(std::uint32_t service, std::uint32_t batch) const;
    pair_estimate& get(std::uint32_t service, std::uint32_t batch);
    [[nodiscard]] double get_prior(std::uint32_t batch) const;

    interference_settings m_settings;
    std::vector<double> m_priors;                    ///< by batch
    std::vector<std::vector<pair_estimate>> m_pairs; ///< by service, then batch
};

} // namespace poplarpitch
