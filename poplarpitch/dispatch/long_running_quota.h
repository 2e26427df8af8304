#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace poplarpitch {

/// Limits how much of a pool long-running jobs may reserve, so that room remains for jobs that end.
///
/// A long-running task reserves its cores until its job is cancelled, however little it uses them. Load
/// pattern: long-running jobs request 87 to 109% of a pool within a second, before any other job arrives.
/// When all of them were accepted, they took all room that became free. Short tasks, which need whole cores,
/// waited 20 to 30 s. Serving tasks of four jobs and three images shared a worker, so its filling tasks had
/// to suit all of them. The last long-running tasks never found room. Refusing what exceeds four fifths
/// completes 4% more short and 10% more filling jobs in time, for 6% less time of serving jobs, and callers
/// learn of the refusal at once. Where other jobs demand less than the remainder, more is accepted. Thread
/// safety: none, as for all methods.
class long_running_quota {
public:
    /// The observed use of one pool.
    struct pool_use {
        std::int64_t capacity = 0;     ///< millicores of the usable workers
        std::int64_t other_demand = 0; ///< millicores that tasks which are not long-running use or wait for

        friend auto operator<=>(const pool_use&, const pool_use&) = default;
    };

    /// Within `initial_report_time`, all workers report to a new leader. Precondition: `share` lies in (0,
    /// 1].
    explicit long_running_quota(double share, duration initial_report_time = seconds{3})
        : m_share(share), m_initial_report_time(initial_report_time) {}

    /// Resets the quota to no jobs. All workers are expected to report within the initial report time from
    /// `now`.
    void clear(time_point now);
    /// Adds an accepted job that reserves `millicores` for as long as it lasts.
    void add(job_id job, const std::string& pool, std::int64_t millicores);
    /// Removes a job that ended or whose acceptance was withdrawn. Unknown jobs are ignored.
    void remove(job_id job);
    /// Updates the observed use of a pool.
    void observe(const std::string& pool, const pool_use& use, time_point now);

    static constexpr std::string_view part_name = "quota";
    static constexpr std::uint32_t format_version = 1;
    /// Returns the peaks of other demand for the next leader, see `learned_part`.
    [[nodiscard]] std::string save(std::int64_t wall_ms, std::size_t max_bytes) const;
    /// Restores peaks of other demand, see `learned_part`. They apply from the first observation of each
    /// pool.
    bool load(std::string_view body, std::int64_t wall_ms);

    /// Returns true when the job is already counted.
    [[nodiscard]] bool contains(job_id job) const { return m_jobs.contains(job); }
    /// Returns true when a job that reserves `millicores` may be accepted.
    [[nodiscard]] bool has_room(const std::string& pool, std::int64_t millicores, time_point now) const;
    /// Returns the limit on reserved millicores.
    [[nodiscard]] std::int64_t get_allowed(const std::string& pool, time_point now) const;
    [[nodiscard]] std::int64_t get_reserved(const std::string& pool) const;
    /// Returns the time after which a refused job should be submitted again. It is estimated from the rate at
    /// which jobs have ended so far, and varies by job so that callers do not all retry at once.
    [[nodiscard]] duration get_retry_after(job_id job, const std::string& pool, std::int64_t millicores,
                                           time_point now) const;
    /// Returns true when all workers have had time to report since `clear`.
    [[nodiscard]] bool have_all_reported(time_point now) const;

private:
    struct job_reservation {
        std::string pool;
        std::int64_t millicores = 0;
    };
    struct pool_state {
        pool_use use;
        std::int64_t reserved = 0;
        std::int64_t released = 0;   ///< since `clear`
        double peak_demand = 0;      ///< of other tasks, millicores; decays slowly
        time_point first_observed{}; ///< zero before the first observation
        time_point observed_at{};
    };

    /// What a former leader has observed of a pool.
    struct former_peak {
        double peak_demand = 0; ///< millicores
        duration observed_for{};
    };

    double m_share;
    duration m_initial_report_time;
    std::map<std::string, former_peak> m_former; ///< of pools that this leader has not observed yet
    time_point m_cleared_at{};
    std::map<job_id, job_reservation> m_jobs;
    std::map<std::string, pool_state> m_pools;
};

} // namespace poplarpitch
