#pragma once

#include "poplarpitch/config/objective_settings.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// What a worker under pressure is relieved by, each step harder than the one before.
enum class relief_step : std::uint8_t {
    none,         ///< all is well
    stop_placing, ///< no new tasks
    throttle,     ///< running tasks are slowed
    evict,        ///< one task is checkpointed and moved
};

/// Thresholds of the ladder.
struct relief_settings {
    double enter_slowdown = 1.6; ///< slowdown of services at which the ladder is stepped on
    double exit_slowdown = 1.2;  ///< below this it is stepped down; the gap keeps it from flapping
    duration escalate_after = milliseconds{1500}; ///< pressure must last this long for each step up
    duration deescalate_after = seconds{5};       ///< calm must last this long for each step down
    duration min_eviction_interval =
        seconds{10}; ///< between two evictions on one worker: the last must show its effect

    friend auto operator<=>(const relief_settings&, const relief_settings&) = default;
};

/// Returns the thresholds for an objective: the more throughput weighs against the tail, the more slowdown is
/// borne before batch work has to give way. Thread safety: any thread.
[[nodiscard]] relief_settings make_relief_settings(const objective_settings& objective);

/// The relief of one worker: goes up one step when pressure lasts, down one when calm lasts. Hysteresis in
/// level and in time keeps waves of noisy tasks from turning into waves of evictions. Thread safety: none, as
/// for all methods.
class relief_ladder {
public:
    explicit relief_ladder(const relief_settings& settings = {});

    /// Takes other thresholds; the step in force stays.
    void set_settings(const relief_settings& settings) { m_settings = settings; }
    /// Takes the present slowdown (measured over expected latency) and returns the step in force.
    relief_step update(double slowdown, time_point now);
    /// Returns true when the ladder stands at `evict` and the last eviction was long enough ago.
    [[nodiscard]] bool is_eviction_due(time_point now) const;
    /// Notes an eviction.
    void on_evicted(time_point now);
    [[nodiscard]] relief_step get_step() const { return m_step; }

private:
    relief_settings m_settings;
    relief_step m_step = relief_step::none;
    bool m_is_under_pressure = false; ///< slowdown was above `enter` at the last update
    bool m_has_recovered = false;     ///< slowdown was below `leave` at the last update
    time_point m_since{};             ///< when pressure or calm began, or the last step was taken
    time_point m_last_eviction{};
};

} // namespace poplarpitch
