#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Settings of the quarantine of workers.
struct worker_health_settings {
    int failure_limit = 5; ///< consecutive failures, while others succeed, that lead to quarantine
    duration first_quarantine = seconds{5}; ///< length of the first quarantine; doubles each time
    duration max_quarantine = seconds{300};
    int probation_successes = 3; ///< consecutive successes that end probation

    friend auto operator<=>(const worker_health_settings&, const worker_health_settings&) = default;
};

/// Whether a worker may be given work.
enum class worker_eligibility : std::uint8_t {
    trusted,
    probation,   ///< one request or task at a time
    quarantined, ///< gets no work
};

/// Detects a worker that fails everything it starts. Failures of requests whose caller was at fault do not
/// count. A quarantine ends in probation, and a failure during probation starts a longer quarantine. Thread
/// safety: none, as for all methods.
class worker_health {
public:
    explicit worker_health(const worker_health_settings& settings = {});

    /// Records a success.
    void on_success();
    /// Records a failure that the worker caused.
    void on_failure(time_point now);
    /// Returns whether the worker may be given work now. A quarantine that is over becomes probation.
    worker_eligibility get_eligibility(time_point now);

private:
    worker_health_settings m_settings;
    worker_eligibility m_eligibility = worker_eligibility::trusted;
    int m_failures = 0;  ///< consecutive
    int m_successes = 0; ///< consecutive, on probation
    duration m_quarantine;
    time_point m_quarantine_end{};
};

} // namespace poplarpitch
