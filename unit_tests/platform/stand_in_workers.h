#pragma once

#include "poplarpitch/core/time.h"
#include "unit_tests/platform/run_record.h"
#include "unit_tests/platform/worker_behaviour.h"

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {

/// Pretended workers that speak the platform's calls: they announce themselves, start, hold and stop runs,
/// keep fences, leases and ends as the platform's page says, and write down every start, so that a test can
/// check the promises.
///
/// Each run takes its time, or lasts until it is stopped, or crashes its worker, where its job's payload
/// says so. A worker that crashed comes back at its address as another life, under another id or under the
/// same one. Thread safety: any thread, for all methods.
class stand_in_workers {
public:
    /// Payload of jobs whose tasks last until they are stopped.
    static constexpr const char* lasting_spec = "lasts";
    /// Payload of jobs whose tasks crash the workers that start them.
    static constexpr const char* crashing_spec = "crashes";

    using restart_mode = worker_restart_mode;

    /// Starts `count` workers on loopback, which send heartbeats to these control addresses.
    stand_in_workers(int count, std::vector<std::string> control_addresses, duration run_time,
                     restart_mode mode = restart_mode::new_id);
    /// As above, for workers with these habits.
    stand_in_workers(int count, std::vector<std::string> control_addresses,
                     const worker_behaviour& behaviour);
    ~stand_in_workers();
    stand_in_workers(const stand_in_workers&) = delete;
    stand_in_workers& operator=(const stand_in_workers&) = delete;

    /// Lets these workers crash at one moment, and come back after `down`. Numbers count from 0.
    void crash(const std::vector<int>& numbers, duration downtime);
    /// Lets a worker announce that it leaves. It takes no more calls from some moment on, while its runs go
    /// on; after `stay` it leaves with all that runs, and another life comes after `down`.
    void drain(int number, duration notice, duration downtime);
    /// Lets a worker refuse all calls with 503 for this long.
    void make_unhealthy(int number, duration length);
    /// Lets a worker close its listener and all connections for this long, while its runs go on.
    void disconnect(int number, duration length);
    /// Returns how often a task was started after a run of it had ended as done and the worker had been told
    /// to forget that.
    [[nodiscard]] int get_starts_after_done() const;
    /// Returns how many runs of each task ended as done.
    [[nodiscard]] std::map<std::string, int> get_done_counts() const;
    /// Returns how often a task was started while another run of it was going on.
    [[nodiscard]] int get_overlaps() const;
    /// Returns how often each task was started.
    [[nodiscard]] std::map<std::string, int> get_start_counts() const;
    /// Returns how many tasks run now.
    [[nodiscard]] int get_running_count() const;
    /// Returns what was done with each task.
    [[nodiscard]] const run_record& get_record() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
    std::thread m_thread;
};

} // namespace poplarpitch
