#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpitch {

/// When a worker counts as slow.
struct worker_speed_settings {
    double slow_share = 0.5;     ///< of the pool's median speed: a worker below it is slow
    double sound_share = 0.7;    ///< of the pool's median speed: a slow worker above it is sound again
    double min_evidence_s = 1.5; ///< run-seconds; one task's share of uneven work is within a third of this
    double min_tail_s = 1;       ///< seconds of tail latencies
    double clear_share = 0.8;    ///< of those seconds that must agree
    duration memory = milliseconds{1500}; ///< time constant with which older evidence loses weight
    std::size_t min_pool = 5;             ///< workers with known speed, for a median

    friend auto operator<=>(const worker_speed_settings&, const worker_speed_settings&) = default;
};

/// Learns how fast one incarnation of a worker works, compared with the forecast durations of its tasks.
///
/// The speed is the work done in the recent past divided by the time that the runs took for it, both summed
/// over all runs of the worker that end. Where there are none, tail latencies of serving tasks decide. Load
/// pattern: a quarter of the workers runs 7.5 times slower for 12 s, while their answers and heartbeats
/// arrive as usual. The ends of runs show this too late, so their progress counts. Forecasts are off by the
/// same factor for all workers of a pool, so a worker is compared with the median of its pool, and a pool
/// that is slow as a whole has no slow workers. A slow worker without new evidence is on probation: it is
/// tried with one task. Thread safety: none, as for all methods.
class worker_speed {
public:
    /// Adds a run's progress: work that was forecast to take `work_s` seconds took `took_s` seconds.
    void observe(double work_s, double took_s, time_point now);
    /// Adds a tail latency of a serving task that nothing beside it explains, as it was for `took_s` seconds.
    void observe_tail(bool is_slow, double took_s, time_point now);
    /// Classifies the worker. `median` is the pool's median speed, 0 while unknown. Returns true when the
    /// class has changed.
    bool classify(double median, const worker_speed_settings& settings, time_point now);

    /// Returns the speed by the progress of tasks that end: 1 when they take as long as forecast. 0 without
    /// such progress.
    [[nodiscard]] double get_speed() const { return m_time_s > 0 ? m_work_s / m_time_s : 0; }
    /// Returns the run-seconds on which that speed is based, less what was forgotten up to `now`.
    [[nodiscard]] double get_evidence_s(const worker_speed_settings& settings, time_point now) const;
    /// Returns true when the worker was found to be slow and nothing shows that it is sound again.
    [[nodiscard]] bool is_slow() const { return m_state == speed_state::slow; }
    /// Returns true when a slow worker has given no new evidence, so that one task may try it.
    [[nodiscard]] bool is_on_probation() const { return m_state == speed_state::probation; }

private:
    enum class speed_state : std::uint8_t { sound, slow, probation };

    [[nodiscard]] speed_state find_state(double median, const worker_speed_settings& settings,
                                         time_point now) const;

    double m_work_s = 0;
    double m_time_s = 0;
    time_point m_observed_at{};
    double m_slow_tail_s = 0;  ///< seconds of tails that show a slow worker, decayed
    double m_sound_tail_s = 0; ///< seconds of other tails, decayed
    time_point m_tail_at{};
    speed_state m_state = speed_state::sound;
};

/// Returns the median of the speeds, or 0 when there are fewer than `settings.min_pool`. Thread safety: any
/// thread.
[[nodiscard]] double get_median_speed(std::vector<double> speeds, const worker_speed_settings& settings);

} // namespace poplarpitch
