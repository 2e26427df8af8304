#pragma once

#include "poplarpitch/core/time.h"
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/simulated_worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace poplarpitch {

/// The decisions and the load of an overload_world.
struct overload_world_settings {
    bool refuse_late = true;
    bool keep_learned = false;
    double load = 3; ///< multiple of the load that fits
    duration overload = seconds{60};
    std::uint64_t seed = 20261202;
    job_id forced_job = 0; ///< accepted at its first submission, whatever is decided about it

    friend bool operator==(const overload_world_settings&, const overload_world_settings&) = default;
};

/// One job of an overload_world and what happened to it.
struct overload_job {
    duration submitted{};               ///< first submission, since the start of the load
    std::vector<duration> refused;      ///< when it was refused
    std::vector<duration> retry_after;  ///< what it was told each time
    std::optional<duration> admitted;   ///< when it was accepted
    std::optional<duration> completed;  ///< when it was completed
    bool was_promised = false;          ///< it was accepted at its return
    std::optional<duration> next_visit; ///< when it is submitted again
};

/// Replays an overload of jobs that end, in virtual time: callers submit at a multiple of the load that fits,
/// and one that is refused returns at the time that it was told. 10 workers have 16 cores each. A job has
/// two steps, one after the other, of 8 tasks on 2 cores that take 0.8 to 1.2 s, so five jobs a second fit.
/// The simulation is deterministic: the same settings give the same run. Thread safety: none, as for all
/// methods.
class overload_world {
public:
    /// Starts the leader and the workers.
    explicit overload_world(const overload_world_settings& settings);

    /// Advances the simulation.
    void run(duration length);
    /// Makes the next leader take over, with the replicated state only.
    void change_leader();
    /// Submits a job again that was accepted. Returns the decision.
    admission submit_again(job_id id);

    [[nodiscard]] const std::map<job_id, overload_job>& get_jobs() const { return m_jobs; }
    [[nodiscard]] duration get_time() const { return m_world.now - m_begin; }
    [[nodiscard]] const dispatcher& get_dispatcher() const { return m_world.scheduler; }

    /// Objective of every job: twice the critical path of 2 s, and a second.
    static constexpr duration objective = seconds{5};
    /// A result that comes later is worth nothing.
    static constexpr duration late_limit = seconds{15};

private:
    [[nodiscard]] step_job make_job(job_id id) const;
    void submit(job_id id);
    void submit_due();
    void deliver_orders();
    void observe_ends();
    [[nodiscard]] duration pick_gap();

    overload_world_settings m_settings;
    dispatch_world m_world;
    std::mt19937_64 m_random;
    time_point m_begin{};
    std::vector<std::unique_ptr<simulated_worker>> m_workers;
    std::map<job_id, overload_job> m_jobs;
    std::vector<job_id> m_open;
    job_id m_next_job = 1000;
    duration m_next_submission{};
    duration m_next_heartbeat{};
};

} // namespace poplarpitch
