#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace poplarpitch {

/// A service to call: `name:share:idempotent`.
struct load_service {
    std::string name;
    double share = 1;
    bool is_idempotent = false;
};

/// What one run of the tool does.
struct load_plan {
    std::vector<std::string> entries;
    std::vector<std::string> tenants;
    std::vector<load_service> services;
    std::vector<std::string> batches; ///< job classes, submitted in turn
    std::string path_prefix = "/v1/call/";
    int callers = 8;
    /// Requests a second over all callers, one rate after the other in equal parts of the time; none sends as
    /// fast as answers come.
    std::vector<double> rates;
    double seconds = 5;
    int jobs = 0;
    int job_waves = 0;       ///< jobs come in so many bursts; 0 spreads them evenly
    double cancel_share = 0; ///< share of each burst that is cancelled a moment later, in one wave
    std::string payload;     ///< of each job
    int resends = 0;         ///< a caller that is told not-run sends again at once, so many times
    std::size_t body = 512;  ///< bytes
    bool is_checked = false; ///< remember every call for the promise check
    std::string run_id;
};

} // namespace poplarpitch
