#pragma once

#include "poplarpitch/state/job_table.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace poplarpitch {

/// Simulates a few jobs, the workers that run them, and events that arrive late, twice and out of order.
/// Follows the protocol between owner and worker and records the first violated property.
class job_simulation {
public:
    job_simulation(const state_rules& rules, std::uint64_t seed);

    /// Runs random steps. Returns the first violated property, or an empty text.
    std::string run(int steps);

private:
    struct actual_run {
        std::uint64_t attempt = 0;
        bool has_started = true; ///< false when the worker refused it
        bool is_live = true;
    };
    struct actual_job {
        std::map<std::uint64_t, actual_run> runs; ///< by attempt
        int finished = 0;
        bool is_rerun_allowed = false;    ///< an operator has allowed another run
        std::uint64_t loss_log_index = 0; ///< changed index at which the leader saw the loss; 0 for none
    };

    void step();
    void submit();
    void assign();
    void start_run();
    void end_run();
    void evict_run();
    void report_worker_lost();
    void expire_lease();
    void deliver();
    void send(const std::string& job, std::uint64_t attempt, wire::job_event_kind kind);
    void check();
    void check_claims();
    std::optional<wire::job> pick_job();
    int pick(int bound) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound)); }

    std::mt19937_64 m_random;
    job_table m_table;
    log_index m_index = 0;
    std::map<std::string, actual_job> m_actual_jobs;
    std::deque<wire::job_event> m_events; ///< not yet applied
    int m_submitted = 0;
    std::string m_violation;
};

} // namespace poplarpitch
