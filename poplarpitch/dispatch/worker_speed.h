#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/task_key.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpitch {

/// When a worker counts as slow, and how its tasks are moved.
struct worker_speed_settings {
    double slow_share = 0.5;         ///< of the pool's median speed: a worker below it is slow
    double sound_share = 0.7;        ///< of the pool's median speed: a slow worker above it is sound again
    double single_step_share = 0.25; ///< the same where all evidence is of one step: its forecast may be off
                                     ///< by a factor of 2.5
    double min_evidence_s = 1.5;     ///< run-seconds of at least two tasks
    double min_other_s = 0.4;        ///< of them, run-seconds without those of the slowest task or step
    double min_trial_s = 0.4;        ///< run-seconds of the task that tries a worker on probation
    double min_recent_s = 0.3;       ///< run-seconds at the speed of a sound worker that end slowness
    double min_tail_s = 1;           ///< seconds of tail latencies
    double clear_share = 0.8;        ///< of those seconds that must agree
    double sound_tail_s = 0.6;       ///< seconds of tail latencies without a slow one that end slowness
    duration memory = milliseconds{1500};       ///< time constant with which older evidence loses weight
    duration recent_memory = milliseconds{400}; ///< the same of the evidence for a recovery
    duration retry_after = seconds{1};          ///< without evidence: when a slow worker is tried again
    duration max_retry_after = seconds{2};      ///< the time doubles up to this with each trial that fails
    duration probation_limit = seconds{5};      ///< a worker that nothing tries is sound after this
    std::size_t min_pool = 5;                   ///< workers with known speed, for a median

    duration check_interval = milliseconds{250}; ///< lists arrive every 350 ms to 1 s
    std::int64_t slow_tail_multiple = 2;         ///< of the target. A serving task's own load brings the tail
                                                 ///< to 0.6 of the target at its peak
    double quiet_fill_share = 0.03; ///< of the worker; filling tasks below it do not explain a tail
    double new_run_time_s = 0.3;    ///< until a stopped task runs elsewhere, where there is room
    double min_gain = 1.3;          ///< a move must be expected to end this many times sooner
    std::uint64_t max_long_running_moves = 12; ///< in one check, so that not all are away at once
    std::uint64_t max_searches = 64;           ///< for room, in one check: under 40 us each at 490 workers
    duration takeover_pause = seconds{3}; ///< before a new leader moves long-running tasks: a stop that the
                                          ///< former leader ordered is executed or refused by then

    friend auto operator<=>(const worker_speed_settings&, const worker_speed_settings&) = default;
    /// Returns true when the limits are in order. Thread safety: any thread.
    [[nodiscard]] bool is_valid() const {
        return 0 < slow_share && slow_share < sound_share && sound_share <= 1 && clear_share > 0.5 &&
               clear_share <= 1 && memory > duration{0} && recent_memory > duration{0} &&
               check_interval > duration{0} && retry_after <= max_retry_after && min_pool > 0;
    }
};

/// Learns how fast one incarnation of a worker works, compared with the forecast durations of its tasks.
///
/// The speed is the work done in the recent past divided by the time that the runs took for it. Where there
/// is too little of it, tail latencies of serving tasks decide. Load pattern: a quarter of the workers runs
/// 7.5 times slower for 12 s, while their answers and heartbeats arrive as usual. The ends of runs show this
/// too late, so their progress counts. Forecasts are off by the same factor for all workers of a pool, so a
/// worker is compared with the median of its pool, and a pool that is slow as a whole has no slow workers.
/// The forecast of a single step may be off, so the worker must also be slow without its slowest step, or far
/// slower than such errors. Single tasks are uneven, so it must be that without its slowest task. Load
/// pattern: placement packs short tasks, so the runs of a worker that show its speed are often of one step. A
/// slow worker without new evidence is on probation: it is tried with one task. Thread safety: none, as for
/// all methods.
class worker_speed {
public:
    /// Adds a run's progress: work that was forecast to take `work_s` seconds took `took_s` seconds.
    void observe(const task_key& task, double work_s, double took_s, const worker_speed_settings& settings,
                 time_point now);
    /// Adds a tail latency of the worker's serving tasks that nothing beside them explains, as it was for
    /// `took_s` seconds.
    void observe_tail(bool is_slow, double took_s, const worker_speed_settings& settings, time_point now);
    /// Classifies the worker. `median` is the pool's median speed, 0 while unknown. Returns true when the
    /// class has changed.
    bool classify(double median, const worker_speed_settings& settings, time_point now);

    /// Returns the speed by the progress of tasks that end: 1 when they take as long as forecast. 0 without
    /// such progress.
    [[nodiscard]] double get_speed() const;
    /// Returns the run-seconds on which that speed is based, less what was forgotten up to `now`.
    [[nodiscard]] double get_evidence_s(const worker_speed_settings& settings, time_point now) const;
    /// Returns true when the worker was found to be slow and nothing shows that it is sound again.
    [[nodiscard]] bool is_slow() const { return m_state == speed_state::slow; }
    /// Returns true when a slow worker has given no new evidence, so that one task may try it.
    [[nodiscard]] bool is_on_probation() const { return m_state == speed_state::probation; }
    /// Returns since when the worker has been slow or on probation.
    [[nodiscard]] time_point get_state_since() const { return m_since; }
    /// Returns true when a run of the slow worker would end sooner elsewhere. `left`: share of the run that
    /// is left. `lost`: share that a stop discards.
    [[nodiscard]] bool would_end_sooner_elsewhere(double left, double lost, double expected_s,
                                                  const worker_speed_settings& settings) const;

private:
    enum class speed_state : std::uint8_t { sound, slow, probation };
    /// Work of the runs of one task and the time they took for it, decayed.
    struct task_evidence {
        task_key task;
        double work_s = 0;
        double time_s = 0;
    };

    [[nodiscard]] speed_state find_state(double median, const worker_speed_settings& settings,
                                         time_point now) const;
    /// Returns true when the speed is below `limit`, also without any one group of tasks. `is_same` tells
    /// whether two tasks are in one group.
    template <class Same>
    [[nodiscard]] bool is_below(double limit, double min_other_s, const Same& is_same) const;
    [[nodiscard]] speed_state find_state_of_sound(double median, const worker_speed_settings& settings,
                                                  time_point now) const;
    [[nodiscard]] speed_state find_state_of_slow(double median, const worker_speed_settings& settings,
                                                 time_point now) const;
    [[nodiscard]] speed_state find_state_on_probation(double median, const worker_speed_settings& settings,
                                                      time_point now) const;
    /// Returns true when the tails of more than the least time agree that the worker is slow.
    [[nodiscard]] bool has_slow_tails(const worker_speed_settings& settings, time_point now) const;
    [[nodiscard]] bool has_recovered_tails(const worker_speed_settings& settings, time_point now) const;
    void forget_evidence();

    std::vector<task_evidence> m_tasks; ///< a few dozen at most
    time_point m_observed_at{};
    double m_recent_work_s = 0;
    double m_recent_time_s = 0;
    double m_slow_tail_s = 0;    ///< seconds of tails that show a slow worker, decayed
    double m_sound_tail_s = 0;   ///< seconds of other tails, decayed
    double m_sound_tail_run = 0; ///< seconds of other tails since the last one that shows a slow worker
    time_point m_tail_at{};
    double m_relative_speed = 0; ///< to the pool's median, when the worker was last found slow; 0: unknown
    double m_median = 0;         ///< of the pool at that time; 0: unknown
    speed_state m_state = speed_state::sound;
    time_point m_since{};
    duration m_retry_after{};
};

/// Returns the median of the speeds, or 0 when there are fewer than `settings.min_pool`. Thread safety: any
/// thread.
[[nodiscard]] double get_median_speed(std::vector<double> speeds, const worker_speed_settings& settings);

} // namespace poplarpitch
