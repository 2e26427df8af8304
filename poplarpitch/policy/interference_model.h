#pragma once

#include <absl/container/flat_hash_map.h>

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace poplarpitch {

/// Share of a worker that a batch class uses: the cores of its tasks divided by the worker's.
struct co_runner {
    std::uint32_t batch = 0; ///< dense index of the batch class
    double share = 0;        ///< 0 to 1

    friend auto operator<=>(const co_runner&, const co_runner&) = default;
};

/// Settings of the interference model.
struct interference_settings {
    double prior_weight = 20; ///< number of samples that the operators' prior counts as
    double decay_samples =
        5000; ///< samples after which old ones have decayed, since interference changes with load
    double max_slowdown = 20; ///< larger samples are clipped, so that one outlier cannot distort an estimate
    double upper_bound_errors =
        1.0; ///< standard errors that the upper bound of a coefficient adds to its estimate

    friend auto operator<=>(const interference_settings&, const interference_settings&) = default;
};

/// Learned model of how much each batch class slows each service. The slowdown of a request is its time
/// divided by the time it would take alone on that worker. It is modelled as 1 + sum(coefficient x share)
/// over the batch tasks that ran beside the request when it started. The entry knows these co-runners at
/// once, so the samples have no lag, unlike the workers' usage reports. Each sample updates the coefficients
/// by normalised least mean squares with a step that falls with the evidence (Widrow and Hoff, 1960). This
/// has a constant cost, needs no matrix and follows interference that changes with load. Thread safety: none,
/// as for all methods.
class interference_model {
public:
    explicit interference_model(const interference_settings& settings = {});

    /// Sets the operators' prior for a batch class; it applies to pairs that have no samples yet.
    void set_prior(std::uint32_t batch, double coefficient);
    /// Adds one request: `slowdown` is its time divided by the expected time alone, `runners` are the batch
    /// tasks that ran beside it.
    void add(std::uint32_t service, std::span<const co_runner> runners, double slowdown);

    /// Replaces the estimate of a pair by one made elsewhere.
    void set_estimate(std::uint32_t service, std::uint32_t batch, double coefficient, double evidence);

    /// Returns the factor, at least 1, by which `runners` slow a request of `service`.
    [[nodiscard]] double predict(std::uint32_t service, std::span<const co_runner> runners) const;
    /// Returns the coefficient of a pair: the growth of latency at a share of 1.
    [[nodiscard]] double get_coefficient(std::uint32_t service, std::uint32_t batch) const;
    /// Returns the upper confidence bound of the coefficient of a pair, for placement.
    [[nodiscard]] double get_coefficient_upper_bound(std::uint32_t service, std::uint32_t batch) const;
    /// Returns the number of samples of a pair after decay, without the prior.
    [[nodiscard]] double get_evidence(std::uint32_t service, std::uint32_t batch) const;

private:
    struct pair_estimate {
        double coefficient = 0;
        double evidence = 0; ///< decayed number of samples, including the prior's
        double variance = 0; ///< of the prediction error
    };

    [[nodiscard]] const pair_estimate* find(std::uint32_t service, std::uint32_t batch) const;
    pair_estimate& get_or_create(std::uint32_t service, std::uint32_t batch);
    [[nodiscard]] double get_prior(std::uint32_t batch) const;

    interference_settings m_settings;
    std::vector<double> m_priors;                    ///< by batch class
    std::vector<std::vector<pair_estimate>> m_pairs; ///< by service, then batch class
};

} // namespace poplarpitch
