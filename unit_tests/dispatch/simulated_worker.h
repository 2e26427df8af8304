#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/hold_answer.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/scheduling/worker_order.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace poplarpitch {

/// A run at a simulated_worker.
struct simulated_worker_run {
    std::shared_ptr<const step_job> job;
    time_point started{};
    time_point ends_at = time_point::max();
    time_point stopped_at = time_point::max();
    time_point fails_at = time_point::max(); ///< when it fails by its own fault
    duration length{};                       ///< at full speed
    int pace = 100;                          ///< percent of full speed
    duration left_at_pace_0{};               ///< while `pace` is 0: what is left of `length`

    /// Returns the resources and properties of the run's step. Thread safety: any thread.
    [[nodiscard]] const step_spec& get_spec(const run_key& key) const {
        return job->steps[key.task.step.step];
    }
};

/// One incarnation of a worker, in virtual time: carries out orders, keeps its lease and lists its runs. The
/// network lies outside, so that a test can delay or drop any order or answer. Thread safety: none, as for
/// all methods.
class simulated_worker {
public:
    using answer_handler = std::function<void(const order_outcome&)>;

    /// Starts a worker that reports `report` and has no runs.
    simulated_worker(const worker_report& report, time_point now);

    /// Carries out an order. The handler is called at once, or for a hold by a later call of `advance`.
    void receive(const hold_order& order, time_point now, const answer_handler& on_answer);
    /// As above. The run ends as done after `length`, unless its task is long-running.
    void receive(const start_order& order, duration length, time_point now, const answer_handler& on_answer);
    /// As above.
    void receive(const stop_order& order, time_point now, const answer_handler& on_answer);
    /// As above. A run that is slowed ends later.
    void receive(const pace_order& order, time_point now, const answer_handler& on_answer);
    /// Ends the runs that are due and answers a hold that is due.
    void advance(time_point now);
    /// Returns and removes the handler of a hold that waits for its answer, or an empty function.
    [[nodiscard]] answer_handler take_pending_hold();
    /// Makes every run fail soon after its start, until `when`.
    void fail_runs_until(time_point when) { m_fails_until = when; }
    /// Makes a run fail at `when` by its own fault, unless it ends before.
    void fail_run(const run_key& key, time_point when);
    /// Ends a run now, such as that of a gang's member with the others. Does nothing where it is not here.
    void end_run_as(const run_key& key, run_end how);
    /// Makes the worker's lists report the progress of runs, the tail latencies of serving tasks and the
    /// processor time that other tasks use. Else all are at 50% and report no such level.
    void report_loads() { m_reports_loads = true; }
    /// Makes the worker work at this multiple of its usual speed: its runs end earlier or later, and the
    /// tail latencies of its serving tasks follow.
    void set_speed(double speed, time_point now);
    /// Makes the worker report that it is draining and stays for `remaining`.
    void drain(duration remaining);
    /// Returns the next heartbeat.
    [[nodiscard]] worker_report make_heartbeat(time_point now);

    [[nodiscard]] const worker_report& get_report() const { return m_report; }
    [[nodiscard]] const std::map<run_key, simulated_worker_run>& get_runs() const { return m_runs; }
    /// Returns the ends of runs that are not acknowledged.
    [[nodiscard]] const std::vector<run_end_entry>& get_ended() const { return m_ended; }

private:
    [[nodiscard]] std::int64_t get_clock(time_point now) const;
    [[nodiscard]] bool has_lower_fence(const order_target& target);
    [[nodiscard]] std::optional<order_failure> start(const start_order& order, duration length,
                                                     time_point now);
    [[nodiscard]] std::optional<run_end> find_end(const simulated_worker_run& run, time_point now) const;
    void extend_lease(std::int64_t lease_end_ms, time_point now);
    void end_run(const run_key& key, run_end how);
    void answer_hold(time_point now);
    [[nodiscard]] run_entry make_entry(const run_key& key, const simulated_worker_run& run,
                                       time_point now) const;
    /// Returns how much the filling tasks here slow the answers of a serving task.
    [[nodiscard]] double get_interference(const step_spec& serving) const;

    worker_report m_report;
    time_point m_started{};
    std::uint64_t m_fence = 0;
    std::uint64_t m_next_end_number = 1;
    std::int64_t m_lease_ms = 0;
    time_point m_fails_until{};
    bool m_reports_loads = false;
    double m_speed = 1; ///< multiple of the usual speed
    std::map<run_key, simulated_worker_run> m_runs;
    std::map<task_key, std::uint32_t> m_highest_runs; ///< runs up to this number are refused
    std::vector<run_end_entry> m_ended;
    answer_handler m_hold; ///< of the hold that waits for its answer
    time_point m_hold_due{};
};

} // namespace poplarpitch
