#pragma once

#include "poplarpitch/core/time.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {

/// Pretended workers that speak the platform's calls: they announce themselves, start, hold and stop runs,
/// keep fences and ends as the platform's page says, and write down every start, so that a test can check the
/// promises.
///
/// Each run takes a fixed time, or lasts until it is stopped, or crashes its worker, where its job's payload
/// says so. A worker that crashed comes back at its address as another life, under another id or under the
/// same one. Thread safety: any thread, for all methods.
class stand_in_workers {
public:
    /// Payload of jobs whose tasks last until they are stopped.
    static constexpr const char* lasting_spec = "lasts";
    /// Payload of jobs whose tasks crash the workers that start them.
    static constexpr const char* crashing_spec = "crashes";

    /// How a worker that crashed comes back.
    enum class rebirth : std::uint8_t {
        new_id,  ///< and says nothing of its start time
        same_id, ///< and tells its start time
    };

    /// Starts `count` workers on loopback, which send heartbeats to these control addresses.
    stand_in_workers(int count, std::vector<std::string> control_addresses, duration run_time,
                     rebirth how = rebirth::new_id);
    ~stand_in_workers();
    stand_in_workers(const stand_in_workers&) = delete;
    stand_in_workers& operator=(const stand_in_workers&) = delete;

    /// Lets these workers crash at one moment, and come back after `down`. Numbers count from 0.
    void crash(const std::vector<int>& numbers, duration down);
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
    [[nodiscard]] int get_running() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
    std::thread m_thread;
};

} // namespace poplarpitch
