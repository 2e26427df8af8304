#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Settings of the speed model.
struct speed_settings {
    double decay_samples = 300; ///< samples after which old ones have decayed
    double prior_weight = 10;   ///< number of samples that the prior, a typical worker, counts as
    double min_factor = 0.2;    ///< a worker is assumed to be at most five times as fast as a typical one
    double max_factor = 10;     ///< and at most ten times as slow

    friend auto operator<=>(const speed_settings&, const speed_settings&) = default;
};

/// Learned time factor of each worker relative to a typical one, so that old and new hardware can be mixed: 2
/// means twice as long. A sample is a request's time divided by the base time of its service, with the
/// predicted interference taken out. The base time of a service is the running mean of its request times with
/// speed and interference taken out. Thread safety: none, as for all methods.
class speed_model {
public:
    explicit speed_model(const speed_settings& settings = {});

    /// Adds one request of `service` on `worker`: its time, and the factor by which interference is estimated
    /// to have slowed it.
    void add(std::uint32_t service, std::uint32_t worker, double time_us, double interference);
    /// Discards the estimate of a worker, whose index may be reused for another.
    void reset(std::uint32_t worker);

    /// Returns the worker's time factor; 1 is typical.
    [[nodiscard]] double get_factor(std::uint32_t worker) const;
    /// Returns the service's base time in microseconds; 0 before the first sample.
    [[nodiscard]] double get_base_us(std::uint32_t service) const;

private:
    struct estimate {
        double value = 0;
        double evidence = 0;
    };

    speed_settings m_settings;
    std::vector<estimate> m_workers; ///< by worker: the factor
    std::vector<estimate> m_bases;   ///< by service: microseconds
};

} // namespace poplarpitch
