#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/entry/announcement.h"
#include "poplarpitch/stand_in/simulated_task.h"
#include "poplarpitch/stand_in/stand_in_settings.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

class run_record;

/// Simulates the tasks of one stand-in worker: runs them by counting time, makes checkpoints, observes leases
/// and repeats the report of each end until it is acknowledged. Thread safety: none, for all methods; the
/// worker guards it with its mutex.
class task_simulator {
public:
    /// `time_factor` is how many times longer work takes on this worker. Precondition: `record` outlives the
    /// simulator.
    task_simulator(const stand_in_settings& settings, std::string worker, double time_factor,
                   run_record& record);

    /// Returns true when the attempt runs on this worker, ran on it, or was stopped before it arrived.
    [[nodiscard]] bool has_seen(const std::string& attempt_id) const;
    /// Starts a task. Precondition: `has_seen` is false for its attempt, and the worker has room for it.
    void start(simulated_task&& task, time_point now);
    /// Carries out evict, stop, throttle, unthrottle, checkpoint or renew for an attempt. Returns false for
    /// another verb on a running attempt.
    bool apply_verb(const std::string& attempt_id, const std::string& verb, time_point now,
                    duration task_lease);
    /// Advances all tasks to `now` and ends those that have finished, failed or lost their lease. Every task
    /// fails when `is_failing` is true.
    void advance(time_point now, bool is_failing);
    /// Extends all leases to `lease_end`.
    void renew(time_point lease_end);
    /// Removes the reports that the owner has acknowledged.
    void acknowledge(const std::vector<std::uint64_t>& numbers);

    [[nodiscard]] const std::vector<task_report>& get_reports() const { return m_reports; }
    [[nodiscard]] std::vector<running_task> list_running() const;
    /// Returns the resources that the running tasks have reserved.
    [[nodiscard]] resources get_reserved() const;
    /// Returns the relative growth of service times that the running tasks cause; 0 for none.
    [[nodiscard]] double get_growth() const;
    /// Returns true when nothing runs and every report is acknowledged.
    [[nodiscard]] bool is_idle() const { return m_tasks.empty() && m_reports.empty(); }

    /// Returns the id of an attempt: job#attempt.
    [[nodiscard]] static std::string make_attempt_id(const std::string& job, std::uint64_t attempt);

private:
    void end(const std::string& attempt_id, const std::string& kind, const std::string& detail);
    /// Returns the real processor demand of a task.
    [[nodiscard]] std::int64_t get_used_millicores(const simulated_task& task) const;

    const stand_in_settings m_settings;
    const std::string m_worker;
    const double m_time_factor;
    run_record& m_record;
    std::map<std::string, simulated_task> m_tasks; ///< by attempt id
    /// Ended attempts, with the number of their report; 0 for none.
    std::map<std::string, std::uint64_t> m_ended;
    std::vector<task_report> m_reports; ///< not acknowledged yet
    std::uint64_t m_last_report = 0;
};

} // namespace poplarpitch
