#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// A request and its end as its caller observed it.
struct observed_call {
    std::string check_id; ///< identifies the request in the workers' records; chosen by the caller
    std::string service;
    bool is_idempotent = false;
    /// done, not-run or unknown; empty when the entry failed while it handled the request
    std::string outcome;
    bool is_body_intact = true; ///< the answer's body was that of the request

    friend auto operator<=>(const observed_call&, const observed_call&) = default;
};

/// Result of checking the system's promises to callers: how many checks passed and which promises were
/// broken.
struct promise_report {
    std::int64_t kept = 0;
    std::vector<std::string> broken; ///< one message for each broken promise

    friend auto operator<=>(const promise_report&, const promise_report&) = default;
};

/// Reads the workers' records and checks them against what callers observed and what control reports.
/// Thread safety: none, for all methods.
class record_checker {
public:
    /// Reads one record file. Returns false when it cannot be read.
    bool read_file(const std::string& name);
    /// Reads one line of a record. Ignores an incomplete line.
    void read_line(const std::string& line);

    /// Checks calls: requests that are not idempotent ran at most once, requests with the outcome not-run did
    /// not run, requests with the outcome done ran, and their answers are intact.
    [[nodiscard]] promise_report check_calls(const std::vector<observed_call>& calls) const;
    /// Checks tasks: no job ran on two workers at once, no attempt ran twice, no worker was overcommitted,
    /// and each job in `done` finished exactly once. An additional finish on a killed worker is allowed when
    /// it was not acknowledged: the system cannot know of it, so an idempotent job runs again. `killed` names
    /// the killed workers.
    [[nodiscard]] promise_report check_tasks(const std::vector<std::string>& done,
                                             const std::set<std::string>& killed = {}) const;

private:
    struct run_span {
        std::string attempt_id;
        std::string worker;
        std::int64_t start_us = 0;
        std::int64_t end_us = 0; ///< 0 until an end is recorded
        bool is_finished = false;
        bool is_acknowledged = false; ///< its end was acknowledged to the worker
    };

    /// Returns true when the runs contain a finish, and at most one besides unacknowledged ones on killed
    /// workers.
    static bool is_finished_once(const std::vector<run_span>& runs, const std::set<std::string>& killed);
    run_span* find_span(const std::string& attempt_id, const std::string& worker);

    std::map<std::string, int> m_request_starts; ///< by check id
    std::map<std::string, int> m_request_ends;
    std::map<std::string, std::vector<run_span>> m_runs; ///< by job
    std::map<std::string, std::int64_t> m_last_seen;     ///< time of each worker's last line, us
    std::int64_t m_overcommits = 0;
};

} // namespace poplarpitch
