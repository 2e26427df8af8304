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

/// Generates load and collects the results. Starts its own threads. Thread safety: none.
class load_runner {
public:
    explicit load_runner(load_plan plan);

    /// Sends requests and jobs according to the plan. Returns when its time is over.
    void run();
    /// Waits until every submitted job has ended, but at most for `limit`.
    void wait_for_jobs(duration limit);
    /// Prints the results and checks the workers' records, if there are any. Returns the exit code: 0 for
    /// success, 1 for a broken promise, 2 for a record that cannot be read. `killed` names workers that were
    /// killed on purpose.
    int report(const std::vector<std::string>& records, const std::set<std::string>& killed);

private:
    void call_until_end(int caller);
    /// Returns the mean interval between two calls of one caller at time `now`; 0 for no pacing.
    [[nodiscard]] duration get_pause(time_point now) const;
    [[nodiscard]] const load_service& pick_service(std::mt19937_64& random) const;
    /// Sends one request and retries at once while the outcome is not-run, as an impatient caller does.
    /// Returns the error code, or an empty text when the request was done.
    std::string send(observed_call& call, const std::string& body, std::mt19937_64& random);
    std::string send_once(observed_call& call, const std::string& body, std::mt19937_64& random);
    void submit_jobs();
    void submit_evenly();
    void submit_wave(int first, int count);
    void cancel_some(int first, int count);
    [[nodiscard]] nlohmann::json make_job(int number) const;
    /// Sends a request to the entries in turn until one answers, with a limited number of attempts. Returns
    /// the body of the answer, or an empty text.
    std::string send_to_any_entry(const std::string& method, const std::string& target,
                                  const std::string& body);
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
    std::map<std::string, nlohmann::json>
        m_jobs; ///< used by the submitting thread first, then by the reporting one
};

} // namespace poplarpitch
