#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace poplarpitch {

/// Limits on the log lines of one kind of event.
struct log_budget_settings {
    /// Lines per second. A busy leader writes 2,500 lines per second of its most frequent kind. A fault that
    /// affects every order causes ten times as many, which would take more time than the orders.
    double rate = 5000;
    double burst = 10'000; ///< lines at once after an idle period: one for each run of 600 workers

    friend auto operator<=>(const log_budget_settings&, const log_budget_settings&) = default;
};

/// Limits the log lines of each kind of event with a separate token bucket, so that one kind cannot displace
/// the others. Load pattern: 48,000 orders a second that fail for the same reason.
///
/// Lines that are left out are counted. The count is reported with the next line of the kind that is written.
/// Thread safety: none, for all methods.
class log_budget {
public:
    explicit log_budget(const log_budget_settings& settings) : m_settings(settings) {}

    /// Whether to write a line, and what to report with it.
    struct decision {
        bool is_written = true;
        std::uint64_t left_out = 0; ///< earlier lines of the kind that were left out and not reported yet

        friend auto operator<=>(const decision&, const decision&) = default;
    };

    /// Decides whether a line of `kind` may be written at `now`.
    decision admit(std::string_view kind, time_point now);
    /// Returns the number of lines left out since the start.
    [[nodiscard]] std::uint64_t get_left_out() const { return m_left_out; }

private:
    struct bucket {
        double tokens = 0;
        time_point last_refill{};
        std::uint64_t unreported = 0;
    };

    log_budget_settings m_settings;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::uint64_t m_left_out = 0;
};

} // namespace poplarpitch
