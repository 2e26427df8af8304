#pragma once

#include "performance_test/load_plan.h"
#include "performance_test/load_result.h"
#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/stand_in/record_checker.h"
#include "poplarpitch/transport/http_client_pool.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// Sends load and gathers what came of it. Thread safety: none; it starts threads of its own.
class load_runner {
public:
    explicit load_runner(load_plan plan);

    /// Sends requests and jobs as planned; returns when the time is over.
    void run();
    /// Waits until every submitted job has ended, at most `limit`.
    void wait_for_jobs(duration limit);
    /// Prints the tables and checks the workers' records; returns the exit code: 1 for a broken promise.
    /// `killed` names workers that were killed on purpose.
    int report(const std::vector<std::string>& records, const std::set<std::string>& killed);

private:
    void call_until_end(int caller);
    /// Returns the pause between two calls of one caller at this time; 0 for none.
    [[nodiscard]] duration get_pause(time_point now) const;
    [[nodiscard]] const load_service& pick_service(std::mt19937_64& random) const;
    /// Sends one request, and again as a hasty caller does while it is told not-run. Returns why it was not
    /// done.
    std::string send(observed_call& call, const std::string& body, std::mt19937_64& random);
    std::string send_once(observed_call& call, const std::string& body, std::mt19937_64& random);
    void submit_jobs();
    void submit_evenly();
    void submit_wave(int first, int count);
    void cancel_some(int first, int count);
    [[nodiscard]] nlohmann::json make_job(int number) const;
    /// Asks entries in turn until one answers.
    std::string ask(const std::string& method, const std::string& target, const std::string& body);
    void print_services();
    void print_batches();

    const load_plan m_plan;
    const system_clock m_clock{};
    http_client_pool m_pool;
    time_point m_begin{};
    time_point m_end{};
    absl::Mutex m_mutex;
    std::map<std::string, load_result> m_results ABSL_GUARDED_BY(m_mutex);
    std::vector<observed_call> m_calls ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, nlohmann::json> m_jobs; ///< of the submitting thread, then of the reporting one
};

} // namespace poplarpitch
