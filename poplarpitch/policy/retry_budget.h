#pragma once

#include <compare>

namespace poplarpitch {

/// Settings of a retry budget.
struct retry_budget_settings {
    double ratio =
        0.1; ///< retries allowed for each first attempt: a tenth limits a retry storm to 1.1 times the load
    double burst = 10; ///< extra retries allowed after an idle period

    friend auto operator<=>(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// Token bucket that is filled by first attempts and drained by retries and hedges, so that the extra load
/// stays a fixed share of the first attempts whatever fails. Counting first attempts instead of time needs no
/// clock and no rate setting. Thread safety: none, as for all methods.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_settings& settings = {});

    /// Records a first attempt.
    void add_attempt();
    /// Takes a token for one more attempt; returns false when there is none.
    bool try_take();
    /// Returns the number of tokens left.
    [[nodiscard]] double get_tokens() const { return m_tokens; }

private:
    retry_budget_settings m_settings;
    double m_tokens;
};

} // namespace poplarpitch
