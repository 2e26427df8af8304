#pragma once

#include "poplarpitch/core/time.h"
#include "unit_tests/platform/run_record.h"
#include "unit_tests/platform/worker_behaviour.h"
#include "unit_tests/platform/worker_loss.h"

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {

/// Simulated workers that implement the outer platform's calls. They send heartbeats, start and stop runs,
/// answer holds, and observe fences, leases and ends as the platform's page specifies. They record every
/// start, so that a test can check the scheduler's guarantees.
///
/// A run takes a random time within the configured range. If its job's payload says so, it lasts until it is
/// stopped, or crashes its worker. A worker that crashed restarts at its address as another incarnation,
/// under a new id or under the same one. Thread safety: any thread, for all methods.
class stand_in_workers {
public:
    /// Payload of jobs whose tasks run until they are stopped.
    static constexpr const char* long_running_payload = "lasts";
    /// Payload of jobs whose tasks crash the workers that start them.
    static constexpr const char* crashing_payload = "crashes";
    /// Payload of jobs whose tasks fail at once in their first run.
    static constexpr const char* failing_once_payload = "fails once";

    using restart_mode = worker_restart_mode;

    /// Starts `count` workers on loopback, which send heartbeats to these control addresses. Each run takes
    /// `run_time`.
    stand_in_workers(int count, std::vector<std::string> control_addresses, duration run_time,
                     restart_mode mode = restart_mode::new_id);
    /// As above, for workers with this behaviour.
    stand_in_workers(int count, std::vector<std::string> control_addresses,
                     const worker_behaviour& behaviour);
    ~stand_in_workers();
    stand_in_workers(const stand_in_workers&) = delete;
    stand_in_workers& operator=(const stand_in_workers&) = delete;

    /// Crashes these workers at the same moment and restarts them after `downtime`. Numbers count from 0.
    void crash(const std::vector<int>& numbers, duration downtime);
    /// Ends these workers with all their runs at the same moment, for good. `loss` is what their peers
    /// notice. Precondition for a silent loss: the workers' behaviour has no late answers.
    void lose(const std::vector<int>& numbers, worker_loss loss);
    /// Makes a worker report that it is draining. At a random moment within `notice` it stops accepting
    /// calls, while its runs continue. After `notice` it deregisters and ends with all its runs. Its next
    /// incarnation starts after `downtime`.
    void drain(int number, duration notice, duration downtime);
    /// Makes a worker refuse all calls with 503 for this long.
    void make_unhealthy(int number, duration length);
    /// Closes a worker's listener and all its connections for this long, while its runs continue.
    void disconnect(int number, duration length);
    /// Returns how often a task was started although a run of it had ended as done and the scheduler had
    /// acknowledged that end to the worker.
    [[nodiscard]] int get_starts_after_done() const;
    /// Returns the number of runs of each task that ended as done.
    [[nodiscard]] std::map<std::string, int> get_done_counts() const;
    /// Returns how often a task was started while another run of it was active.
    [[nodiscard]] int get_concurrent_start_count() const;
    /// Returns how often each task was started.
    [[nodiscard]] std::map<std::string, int> get_start_counts() const;
    /// Returns the number of active runs.
    [[nodiscard]] int get_running_count() const;
    /// Returns the history of all tasks.
    [[nodiscard]] const run_record& get_record() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
    std::thread m_thread;
};

} // namespace poplarpitch
