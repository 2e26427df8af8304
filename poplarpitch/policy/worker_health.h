#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// When a worker is distrusted.
struct worker_health_settings {
    int failure_limit = 5; ///< failures in a row, while others succeed, that lead to quarantine
    duration first_quarantine = seconds{5}; ///< length of the first quarantine; doubles each time
    duration max_quarantine = seconds{300};
    int probation_successes = 3; ///< successes in a row that end probation

    friend auto operator<=>(const worker_health_settings&, const worker_health_settings&) = default;
};

/// Whether a worker may be given work.
enum class worker_trust : std::uint8_t {
    trusted,
    probation,   ///< one piece of work at a time
    quarantined, ///< none
};

/// Watches one worker for failing everything it starts. Failures of requests whose caller was at fault do not
/// count. A quarantine ends in probation, and a failure there leads into a longer one. Thread safety: none,
/// as for all methods.
class worker_health {
public:
    explicit worker_health(const worker_health_settings& settings = {});

    /// Notes a success.
    void on_success();
    /// Notes a failure that the worker is to blame for.
    void on_failure(time_point now);
    /// Returns whether the worker may be given work now.
    worker_trust get_trust(time_point now);

private:
    worker_health_settings m_settings;
    worker_trust m_trust = worker_trust::trusted;
    int m_failures = 0;  ///< in a row
    int m_successes = 0; ///< in a row, on probation
    duration m_quarantine;
    time_point m_quarantine_end{};
};

} // namespace poplarpitch
