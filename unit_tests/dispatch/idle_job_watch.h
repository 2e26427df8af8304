#pragma once

#include "poplarpitch/core/time.h"
#include "unit_tests/dispatch/due_step.h"
#include "unit_tests/dispatch/long_running_watch.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// How a job was found to have nothing running for too long.
enum class idle_finding : std::uint8_t {
    continuous, ///< it had nothing running all the time
    looks,      ///< it had nothing running at several looks, whatever ran between them
};

/// A job that had nothing running although workers had room for one of its tasks.
struct idle_job {
    idle_finding finding = idle_finding::continuous;
    step_key step;             ///< a step whose turn had come
    time_point since{};        ///< when the wait began, or the first of the looks
    time_point found_at{};     ///< when it was found
    time_point disrupted_at{}; ///< time of the last disruption before `found_at`
    double used_share = 0;     ///< of the capacity, in the dimension with the largest share

    friend bool operator==(const idle_job&, const idle_job&) = default;
};

/// Describes an idle job in a test's message. Thread safety: any thread.
[[nodiscard]] std::string describe(const idle_job& item);

/// Finds jobs that have nothing running although workers have room for their tasks.
///
/// A job is idle while it has no run on any worker that is up, a task's turn has come, there is capacity for
/// that task twice over and less than half of the capacity is in use in each dimension. A gang counts as one
/// task. A step of long-running tasks counts only from 6 s after the last run of its job. Capacity is that of
/// the workers that are up, sound and not draining, less what their runs need; filling tasks need no
/// processor time. A job must not be idle for 3 s without a break, nor at three looks in a row, which are
/// 1.5 s apart. `get_found` has those jobs for which the 3 s and the 4 s before them were free of
/// disruptions. `find_idle` ignores disruptions. The watch judges only by the log and by what the workers run
/// and offer, never by the leader's records. Thread safety: none, as for all methods.
class idle_job_watch {
public:
    /// The first look takes place at `first_look`.
    explicit idle_job_watch(time_point first_look) : m_next_look(first_look) {}

    /// Records that a disruption happens or lasts at `now`.
    void record_disruption(time_point now) { m_disrupted_at = now; }
    /// Judges the state of all workers at `now`. Preconditions: `now` never decreases; `due` has the due
    /// steps of all open jobs, in order; observations are less apart than the shortest run lasts.
    void observe(const std::vector<watched_worker>& workers, const std::vector<due_step>& due,
                 time_point now);
    /// Returns the jobs that were idle for too long while nothing was disrupted, in the order in which they
    /// were found. A wait is reported once for each kind of finding.
    [[nodiscard]] const std::vector<idle_job>& get_found() const { return m_found; }
    /// Returns the jobs that have been idle for too long at the last observation, disruptions or not.
    [[nodiscard]] std::vector<idle_job> find_idle() const;
    /// Returns how many jobs were idle at the last observation, for however short a time.
    [[nodiscard]] std::size_t count_idle() const { return m_idle_count; }

private:
    /// Free amounts of a worker and its runs of each step.
    struct free_worker {
        const worker_report* report = nullptr;
        worker_amounts free;
        std::map<step_key, std::size_t> step_counts;
    };
    struct job_wait {
        time_point last_run{};                ///< or when the job was first seen
        step_key step;                        ///< with room for its tasks
        std::optional<time_point> idle_since; ///< without a break
        bool is_reported = false;
        std::size_t idle_looks = 0; ///< in a row
        time_point first_idle_look{};
        bool is_reported_by_looks = false;
    };

    void measure(const std::vector<watched_worker>& workers);
    [[nodiscard]] bool has_room(const due_step& item) const;
    void judge(job_wait& wait, bool is_idle, bool is_look, time_point now);
    [[nodiscard]] bool is_calm_since(time_point since) const;
    [[nodiscard]] idle_job make_finding(idle_finding finding, const job_wait& wait) const;

    std::map<job_id, job_wait> m_waits; ///< of the jobs that have due steps
    std::vector<free_worker> m_free;
    double m_used_share = 0;
    std::size_t m_idle_count = 0;
    time_point m_now{};
    time_point m_next_look{};
    std::optional<time_point> m_disrupted_at;
    std::vector<idle_job> m_found;
};

} // namespace poplarpitch
