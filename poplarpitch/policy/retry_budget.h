#pragma once

#include <compare>

namespace poplarpitch {

/// Bounds of a retry budget.
struct retry_budget_settings {
    double ratio = 0.1; ///< retries allowed for each first attempt: a tenth keeps a retry storm at 1.1x
    double burst = 10;  ///< retries allowed on top after a quiet time

    friend auto operator<=>(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// A token bucket filled by first attempts and emptied by retries and hedges, so that extra load stays a
/// fixed share of the real one whatever fails. Counting first attempts instead of time needs no clock and no
/// rate setting. Thread safety: none, as for all methods.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_settings& settings = {});

    /// Notes a first attempt.
    void add_attempt();
    /// Takes a token for one more attempt; false when there is none.
    bool try_take();
    /// Returns the tokens left.
    [[nodiscard]] double get_tokens() const { return m_tokens; }

private:
    retry_budget_settings m_settings;
    double m_tokens;
};

} // namespace poplarpitch
