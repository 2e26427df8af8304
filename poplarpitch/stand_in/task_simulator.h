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

/// The tasks of one pretended worker: runs them by counting time, checkpoints, keeps leases, and reports each
/// end until it is acknowledged. Thread safety: none, as for all methods; the worker guards it.
class task_simulator {
public:
    /// `factor`: how much longer work takes here. Precondition: `record` outlives the simulator.
    task_simulator(const stand_in_settings& settings, std::string worker, double factor, run_record& record);

    /// Returns true when the attempt runs here, ran here, or was stopped before it came.
    [[nodiscard]] bool knows(const std::string& lease) const;
    /// Starts a task. Precondition: it is not known, and there is room.
    void start(simulated_task&& task, time_point now);
    /// Carries out evict, stop, throttle, unthrottle, checkpoint or renew; false for another verb.
    bool tell(const std::string& lease, const std::string& verb, time_point now, duration task_lease);
    /// Brings all tasks up to `now` and ends those that are over. `is_failing`: every task fails.
    void advance(time_point now, bool is_failing);
    /// Prolongs all leases to `lease_end`.
    void renew(time_point lease_end);
    /// Drops the reports that the owner has acknowledged.
    void acknowledge(const std::vector<std::uint64_t>& numbers);

    [[nodiscard]] const std::vector<task_report>& get_reports() const { return m_reports; }
    [[nodiscard]] std::vector<running_task> list_running() const;
    /// Returns what the running tasks have reserved.
    [[nodiscard]] resources get_reserved() const;
    /// Returns how much the running tasks lengthen a request: 0 for not at all.
    [[nodiscard]] double get_growth() const;
    /// Returns true when nothing runs and every report is acknowledged.
    [[nodiscard]] bool is_idle() const { return m_tasks.empty() && m_reports.empty(); }

    /// Returns the name of an attempt: job#attempt.
    [[nodiscard]] static std::string make_lease(const std::string& job, std::uint64_t attempt);

private:
    void end(const std::string& lease, const std::string& kind, const std::string& detail);
    /// Returns what a task really takes of the processor.
    [[nodiscard]] std::int64_t get_used_millicores(const simulated_task& task) const;

    const stand_in_settings m_settings;
    const std::string m_worker;
    const double m_factor;
    run_record& m_record;
    std::map<std::string, simulated_task> m_tasks; ///< by lease
    std::map<std::string, std::uint64_t> m_ended;  ///< leases that ended, with their report
    std::vector<task_report> m_reports;            ///< not acknowledged yet
    std::uint64_t m_last_report = 0;
};

} // namespace poplarpitch
