#pragma once

#include "poplarpitch/core/time.h"

#include <compare>

namespace poplarpitch {

/// Limits of the evictions of one entry.
struct eviction_budget_settings {
    double per_minute = 4; ///< evictions per minute over all workers of the entry
    double burst = 3;      ///< evictions allowed at once after an idle period

    friend auto operator<=>(const eviction_budget_settings&, const eviction_budget_settings&) = default;
};

/// Token bucket for the evictions on all workers of an entry: when many workers are under pressure at once,
/// moving their tasks would only move the pressure. Thread safety: none, as for all methods.
class eviction_budget {
public:
    explicit eviction_budget(const eviction_budget_settings& settings = {});

    /// Returns true when `try_take` would succeed.
    [[nodiscard]] bool has_any(time_point now);
    /// Takes a token for one eviction; returns false when the budget is used up.
    bool try_take(time_point now);

private:
    void refill(time_point now);

    eviction_budget_settings m_settings;
    double m_tokens;
    time_point m_last{};
};

} // namespace poplarpitch
