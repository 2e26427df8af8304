#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpitch {

/// Learning of speeds.
struct speed_settings {
    double memory_samples = 300; ///< samples after which old ones have faded
    double prior_weight = 10;    ///< samples that the assumption of an ordinary worker counts for
    double min_factor = 0.2;     ///< a worker is taken as at most five times as fast
    double max_factor = 10;      ///< or ten times as slow as the ordinary one

    friend auto operator<=>(const speed_settings&, const speed_settings&) = default;
};

/// How long each worker takes over the ordinary one, so that old and new hardware mix: 2 means twice as long.
/// A sample is a request's time over the service's ordinary time, with the predicted interference taken out.
/// The ordinary time of a service is itself the running mean of times with speed and interference taken out.
/// Thread safety: none, as for all methods.
class speed_model {
public:
    explicit speed_model(const speed_settings& settings = {});

    /// Takes one request of `service` on `worker`: its time, and the factor that interference is thought to
    /// have had.
    void add(std::uint32_t service, std::uint32_t worker, double time_us, double interference);
    /// Forgets what is known of a worker, whose number may be given to another.
    void reset(std::uint32_t worker);

    /// Returns the worker's factor; 1 is ordinary.
    [[nodiscard]] double get_factor(std::uint32_t worker) const;
    /// Returns the service's ordinary time in microseconds; 0 while nothing is known.
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
