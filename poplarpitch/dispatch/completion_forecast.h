#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/job_work.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Forecasts when a job that is submitted now would be completed.
///
/// The forecast follows the order of service: first the jobs of better priority, then those of its own that
/// can still meet their objectives and have less time left, then the late ones. Their remaining work is
/// divided by the drain rate, the work that the workers have finished per second while some waited. Jobs that
/// arrive later and can still be in time overtake a late one, so a late job gets only what the arrivals leave
/// of the drain rate. Load pattern: jobs arrive at 2.4 times the rate that fits for 12 s and more; all were
/// accepted, and the last ones waited 40 s for an answer that came too late. Thread safety: none, as for all
/// methods.
class completion_forecast {
public:
    /// Returned for a job that would wait for as long as the load stays as it is.
    static constexpr duration unbounded = seconds{3600};

    /// Removes everything, as at the start of a term.
    void clear(time_point now);
    /// Records that a task was done whose work was forecast at `core_ms`.
    void on_task_done(const room_key& room, double core_ms);
    /// Records that a job was accepted, with its forecast if there was one. Its work counts from now on.
    void on_accepted(const job_work& job, std::optional<duration> expected);
    /// Returns and removes the forecast that an accepted job had, or nothing. Called when the job ends.
    std::optional<duration> take_expected(job_id job);
    /// Replaces the open jobs, and measures the drain rate since the last call. `waiting`: rooms for which
    /// tasks wait.
    void update(std::vector<job_work> open, const std::vector<room_key>& waiting, time_point now);

    /// Returns how long the job would take, or nothing while the drain rate is not known or no task waits.
    [[nodiscard]] std::optional<duration> forecast(const job_work& job) const;
    /// Returns how long it takes until a new submission of the job would be in time, with `promised_core_ms`
    /// of further work before it. Zero while nothing is known.
    [[nodiscard]] duration get_time_until_room(const job_work& job, double promised_core_ms) const;
    /// Returns the drain rate in cores, or 0 while it is not known.
    [[nodiscard]] double get_drain(const room_key& room) const;
    /// Returns the time in which the work of the open jobs is done at the drain rate, in the room where that
    /// takes longest, as of the last update. Rooms for which no task waits, or whose drain rate is not known,
    /// are left out.
    [[nodiscard]] duration get_backlog_time() const { return m_backlog_time; }

    static constexpr std::string_view part_name = "drains";
    static constexpr std::uint32_t format_version = 1;
    /// Returns the drain rates for the next leader, see `learned_part`.
    [[nodiscard]] std::string save(std::int64_t wall_ms, std::size_t max_bytes) const;
    /// Restores drain rates, see `learned_part`. New measurements replace them.
    bool load(std::string_view body, std::int64_t wall_ms);

private:
    /// The measured flow of work through one room. Amounts are core-milliseconds.
    struct room_flow {
        double done = 0;          ///< since the last update
        double accepted = 0;      ///< since the last update
        double drain_cores = 0;   ///< smoothed; 0 while unknown
        double arrival_cores = 0; ///< accepted work per time, smoothed
        std::size_t samples = 0;  ///< of the drain rate
        bool has_waiting = false; ///< tasks waited at the last update
    };
    /// Work that is served before a job.
    struct work_ahead {
        double in_time = 0; ///< core-milliseconds, if the job can be in time
        double all = 0;     ///< core-milliseconds, if it is late
    };

    [[nodiscard]] work_ahead get_work_ahead(const job_work& job) const;
    [[nodiscard]] duration measure_backlog_time() const;
    [[nodiscard]] const room_flow* find_flow(const room_key& room) const;

    std::map<room_key, room_flow> m_flows;
    std::vector<job_work> m_open;
    absl::flat_hash_map<job_id, duration> m_expected; ///< forecasts of accepted jobs that have not ended
    time_point m_updated_at{};
    duration m_backlog_time{}; ///< kept, since it is asked for more often than it is measured
};

} // namespace poplarpitch
