#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace poplarpitch {

/// How many lines of one kind of event may be written.
struct log_budget_settings {
    /// Lines a second. A busy leader writes 2,500 of its most frequent kind; ten times as many, as a fault
    /// that touches every order brings them, would admit more time than the orders.
    double rate = 5000;
    double burst = 10'000; ///< lines at once after a quiet time: one for each run of 600 workers

    friend auto operator<=>(const log_budget_settings&, const log_budget_settings&) = default;
};

/// Bounds the lines of each kind of event by a token bucket of its own, so that one kind cannot crowd out the
/// others. Load pattern: 48,000 orders a second that fail for the same reason.
///
/// What is left out is counted, and told with the first line of the kind that is written again. Thread
/// safety: none, as for all methods.
class log_budget {
public:
    explicit log_budget(const log_budget_settings& settings) : m_settings(settings) {}

    /// What to do with a line.
    struct decision {
        bool is_written = true;
        std::uint64_t left_out = 0; ///< lines of the kind that were left out before this one and not told yet

        friend auto operator<=>(const decision&, const decision&) = default;
    };

    /// Decides on a line of `kind`.
    decision admit(std::string_view kind, time_point now);
    /// Returns how many lines were left out since the start.
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
