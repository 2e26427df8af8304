#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"

#include <cstdint>
#include <map>
#include <string>

namespace poplarpitch {

/// How much of a pool jobs that last may reserve, so that those that end keep room.
///
/// A task that lasts reserves its cores until its job is cancelled, whatever it uses of them. Load pattern:
/// jobs that last ask for 87 to 109% of a pool within a second, before anything else comes. Taken as they
/// came, they were squeezed into every gap: short tasks, which need whole cores, waited 20 to 30 s, serving
/// tasks of four jobs and three images shared a worker, whose filling tasks then had to suit all of them, and
/// the last ones waited in vain. Refusing what passes four fifths brings 4% more short and 10% more filling
/// jobs in time for 6% less time of serving jobs, and tells those refused at once. Where other jobs
/// want less than is kept, more is let in. Thread safety: none, as for all methods.
class lasting_quota {
public:
    /// What is known of one pool.
    struct pool_use {
        std::int64_t capacity = 0;     ///< millicores of the workers that may be used
        std::int64_t other_demand = 0; ///< millicores that tasks which end hold or wait for

        friend auto operator<=>(const pool_use&, const pool_use&) = default;
    };

    /// Precondition: `share` lies in (0, 1].
    explicit lasting_quota(double share) : m_share(share) {}

    /// Begins anew, without jobs; all workers are heard of within `settle` from now on.
    void clear(time_point now);
    /// Adds an accepted job that reserves `millicores` for as long as it lasts.
    void add(job_id job, const std::string& pool, std::int64_t millicores);
    /// Takes a job out that ended or was not accepted after all; unknown ones are ignored.
    void remove(job_id job);
    /// Takes what is known of a pool at present.
    void observe(const std::string& pool, const pool_use& use, time_point now);

    /// Returns true when the job is counted already.
    [[nodiscard]] bool contains(job_id job) const { return m_jobs.contains(job); }
    /// Returns true when a job that reserves `millicores` may be taken.
    [[nodiscard]] bool has_room(const std::string& pool, std::int64_t millicores, time_point now) const;
    /// Returns how many millicores may be reserved in all.
    [[nodiscard]] std::int64_t get_allowed(const std::string& pool, time_point now) const;
    [[nodiscard]] std::int64_t get_reserved(const std::string& pool) const;
    /// Returns when a refused job should be sent again: when by the rate at which jobs ended so far there
    /// will be room for it, later for some jobs than for others, so that they do not come back all at once.
    [[nodiscard]] duration get_retry_after(job_id job, const std::string& pool, std::int64_t millicores,
                                           time_point now) const;

private:
    struct job_share {
        std::string pool;
        std::int64_t millicores = 0;
    };
    struct pool_state {
        pool_use use;
        std::int64_t reserved = 0;
        std::int64_t released = 0;   ///< since `clear`
        double peak_demand = 0;      ///< of others, millicores: falls slowly
        time_point first_observed{}; ///< zero before
        time_point observed_at{};
    };

    [[nodiscard]] bool is_settled(time_point now) const;

    double m_share;
    time_point m_cleared_at{};
    std::map<job_id, job_share> m_jobs;
    std::map<std::string, pool_state> m_pools;
};

} // namespace poplarpitch
