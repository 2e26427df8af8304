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
/// can still meet their objectives and have less slack, then the late ones, and last those past their late
/// limit. Their remaining work is divided by the drain rate, the work that the workers have finished per
/// second while some waited. Jobs that arrive later and can still be in time overtake a late one, so a late
/// job gets only what the arrivals leave of the drain rate. Load pattern: jobs arrive at 2.4 times the rate
/// that fits for 12 s and more; all were accepted, and the last ones waited 40 s for an answer that came too
/// late.
///
/// The work is summed by priority and by the time at which a job must start, so that a forecast costs a few
/// hundred additions however many jobs are open. Thread safety: none, as for all methods.
class completion_forecast {
public:
    /// Returned for a job that would wait for as long as the load stays as it is.
    static constexpr duration unbounded = seconds{3600};

    /// Removes everything, as at the start of a term.
    void clear(time_point now);
    /// Records that a task of `job` was done whose work was forecast at `core_ms`.
    void on_task_done(job_id job, const room_key& room, double core_ms);
    /// Records that a job was accepted, with its forecast if there was one. Its work counts from now on.
    void on_accepted(const job_work& job, std::optional<duration> expected, time_point now);
    /// Removes a job that ended or was not committed. Returns the forecast that it had when it was accepted,
    /// or nothing.
    std::optional<duration> on_ended(job_id job);
    /// Returns true for a job that is open or being committed.
    [[nodiscard]] bool contains(job_id job) const { return m_jobs.contains(job); }
    /// Replaces the remaining work of all open jobs, by the progress that was reported. Jobs that are being
    /// committed stay.
    void set_open(const std::vector<job_work>& open, time_point now);
    /// Measures the drain rate since the last call. `waiting`: rooms for which tasks wait.
    void measure(const std::vector<room_key>& waiting, time_point now);

    /// Returns how long the job would take after `promised_core_ms` of work that others were promised, or
    /// nothing while the drain rate is not known or no task waits.
    [[nodiscard]] std::optional<duration> forecast(const job_work& job, double promised_core_ms,
                                                   time_point now) const;
    /// Returns how long it takes until a new submission of the job would be in time, with `promised_core_ms`
    /// of further work before it. Zero while nothing is known.
    [[nodiscard]] duration get_time_until_room(const job_work& job, double promised_core_ms,
                                               time_point now) const;
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
    /// Core-milliseconds by the latest start of their jobs, in units of the bucket width.
    using work_by_start = std::map<std::int64_t, double>;

    /// The work of one room, and its measured flow. Amounts are core-milliseconds.
    struct room_flow {
        double done = 0;                   ///< since the last sample of the drain rate
        double done_period_ms = 0;         ///< time that `done` covers
        double accepted = 0;               ///< since the last measurement
        double drain_cores = 0;            ///< smoothed; 0 while unknown
        double arrival_cores = 0;          ///< accepted work per time, smoothed
        std::size_t samples = 0;           ///< of the drain rate
        bool has_waiting = false;          ///< tasks waited at the last measurement
        std::map<int, work_by_start> open; ///< remaining work by priority
    };
    /// Where the work of an open job is counted.
    struct counted_work {
        room_flow* flow = nullptr;
        int priority = 0;
        std::int64_t bucket = 0;
        double core_ms = 0;
        std::optional<time_point> admitted_at; ///< of a job that is being committed
    };
    /// Work that is served before a job.
    struct work_ahead {
        double in_time = 0; ///< core-milliseconds, if the job can be in time
        double all = 0;     ///< core-milliseconds, if it is late
    };

    void add_work(const job_work& job, std::optional<time_point> admitted_at, time_point now);
    static void subtract(counted_work& counted, double core_ms);
    static void sample_drain(room_flow& flow, bool has_waiting, double passed_ms);
    [[nodiscard]] static work_ahead get_work_ahead(const room_flow& flow, const job_work& job,
                                                   time_point now);
    [[nodiscard]] duration measure_backlog_time() const;
    [[nodiscard]] const room_flow* find_flow(const room_key& room) const;

    std::map<room_key, room_flow> m_flows; ///< entries are never removed within a term
    absl::flat_hash_map<job_id, counted_work> m_jobs;
    absl::flat_hash_map<job_id, duration> m_expected; ///< forecasts of accepted jobs that have not ended
    time_point m_measured_at{};
    duration m_backlog_time{}; ///< kept, since it is asked for more often than it is measured
};

} // namespace poplarpitch
