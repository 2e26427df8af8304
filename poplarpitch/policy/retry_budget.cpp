#include "poplarpitch/policy/retry_budget.h"

#include <algorithm>

namespace poplarpitch {

retry_budget::retry_budget(const retry_budget_settings& settings)
    : m_settings(settings), m_tokens(settings.burst) {}

void retry_budget::add_attempt() {
    m_tokens = std::min(m_tokens + m_settings.ratio, m_settings.burst);
}

bool retry_budget::try_take() {
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace poplarpitch
