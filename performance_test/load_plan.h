#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace poplarpitch {

/// A service to call, on the command line `name:share:idempotent`.
struct load_service {
    std::string name;
    double share = 1;
    bool is_idempotent = false;
};

/// Settings of one run of the load tool.
struct load_plan {
    std::vector<std::string> entries;
    std::vector<std::string> tenants;
    std::vector<load_service> services;
    std::vector<std::string> batches; ///< job classes; jobs are assigned to them in turn
    std::string path_prefix = "/v1/call/";
    int callers = 8;
    /// Requests per second over all callers. Each rate applies for an equal part of the run. Without rates,
    /// each caller sends its next request as soon as it has an answer.
    std::vector<double> rates;
    double seconds = 5;
    int jobs = 0;
    int job_waves = 0;       ///< number of bursts in which the jobs are submitted; 0 spreads them evenly
    double cancel_share = 0; ///< share of each burst that is cancelled shortly afterwards by one request
    std::string payload;     ///< of each job
    int resends = 0;         ///< number of immediate retries after the outcome not-run
    std::size_t body = 512;  ///< bytes
    bool is_checked = false; ///< records every call for the check of promises
    std::string run_id;
};

} // namespace poplarpitch
