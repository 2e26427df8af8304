#pragma once

#include "poplarpitch/config/objective_settings.h"
#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Levels of relief of a worker under pressure, each more severe than the one before.
enum class relief_level : std::uint8_t {
    none,         ///< no measure in force
    stop_placing, ///< no new tasks are placed
    throttle,     ///< running tasks are slowed down
    evict,        ///< one task is checkpointed and moved
};

/// Thresholds between the levels of relief.
struct relief_settings {
    double enter_slowdown = 1.6; ///< slowdown of services at which the worker counts as under pressure
    double exit_slowdown = 1.2;  ///< at or below this it has recovered; the gap prevents flapping
    duration escalate_after = milliseconds{1500}; ///< pressure must last this long for each level up
    duration deescalate_after = seconds{5};       ///< recovery must last this long for each level down
    duration min_eviction_interval =
        seconds{10}; ///< between two evictions on one worker, so that the effect of the first shows

    friend auto operator<=>(const relief_settings&, const relief_settings&) = default;
};

/// Returns the thresholds for an objective: the more throughput weighs against the tail, the more slowdown is
/// tolerated before batch work is restricted. Thread safety: any thread.
[[nodiscard]] relief_settings make_relief_settings(const objective_settings& objective);

/// Escalation of the relief of one worker: goes up one level when pressure lasts and down one level when
/// recovery lasts. Hysteresis in slowdown and in time keeps bursts of interfering tasks from causing bursts
/// of evictions. Thread safety: none, as for all methods.
class relief_escalation {
public:
    explicit relief_escalation(const relief_settings& settings = {});

    /// Replaces the thresholds; the level in force stays.
    void set_settings(const relief_settings& settings) { m_settings = settings; }
    /// Updates the level by the current slowdown (measured over expected latency) and returns the level in
    /// force.
    relief_level update(double slowdown, time_point now);
    /// Returns true when the level is `evict`, the worker is under pressure and the last eviction was at
    /// least `min_eviction_interval` ago.
    [[nodiscard]] bool is_eviction_due(time_point now) const;
    /// Records an eviction.
    void on_evicted(time_point now);
    /// Returns the level in force.
    [[nodiscard]] relief_level get_level() const { return m_level; }

private:
    relief_settings m_settings;
    relief_level m_level = relief_level::none;
    bool m_is_under_pressure = false; ///< slowdown was at or above `enter_slowdown` at the last update
    bool m_has_recovered = false;     ///< slowdown was at or below `exit_slowdown` at the last update
    time_point m_state_since{};       ///< when this state began or the level last changed
    time_point m_last_eviction{};
};

} // namespace poplarpitch
