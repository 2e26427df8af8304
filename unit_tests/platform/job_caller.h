#pragma once

#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/submitted_job.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {

/// A caller that submits jobs of all kinds, and cancels some, one request at a time, each through a random
/// gateway. As the platform's page specifies, it sends a request without a clear answer again under the same
/// id until one arrives, and never repeats a request that was rejected. In a quarter of the cases it gives up
/// instead, and it repeats a tenth of the accepted requests later. Thread safety: any thread, for all
/// methods.
class job_caller {
public:
    /// What the caller has just done.
    enum class moment : std::uint8_t { submits, accepted, cancels, cancelled };
    /// Called on the caller's thread, before the caller does anything else.
    using moment_observer = std::function<void(moment, job_kind)>;

    /// Starts to submit jobs. Ids of jobs start with `id_prefix`, which has 12 hexadecimal digits.
    /// Precondition: `cluster` outlives the caller, and gateways 1 to `gateways` have been started.
    job_caller(scheduler_cluster& cluster, int gateways, std::uint64_t seed, std::string id_prefix,
               moment_observer observer);
    /// Stops at once.
    ~job_caller();
    job_caller(const job_caller&) = delete;
    job_caller& operator=(const job_caller&) = delete;

    /// Submits no more jobs, and cancels none for the first time, but repeats what has no clear answer.
    void end_traffic();
    /// Returns true when the traffic has ended and every request that is repeated has a clear answer.
    [[nodiscard]] bool is_finished() const { return m_is_finished; }
    /// Returns all jobs so far.
    [[nodiscard]] std::vector<submitted_job> get_jobs() const;

private:
    struct open_request;

    void run();
    void submit_next();
    void cancel_one();
    void repeat_due();
    void post(std::size_t index);
    void cancel(std::size_t index);
    int send(const std::string& method, const std::string& id, const std::string& body);
    submitted_job make_job();
    bool happens(int chance_percent);
    int pick(int lowest, int highest);

    scheduler_cluster& m_cluster;
    const int m_gateways;
    const std::string m_id_prefix;
    const moment_observer m_observer;
    std::mt19937_64 m_random;            ///< used on the caller's thread only
    std::vector<open_request> m_repeats; ///< requests to send again, used on the caller's thread only
    std::atomic<bool> m_is_stopping{false};
    std::atomic<bool> m_has_traffic{true};
    std::atomic<bool> m_is_finished{false};
    mutable absl::Mutex m_mutex;
    std::vector<submitted_job> m_jobs ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace poplarpitch
