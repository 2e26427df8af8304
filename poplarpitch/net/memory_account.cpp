#include "poplarpitch/net/memory_account.h"

#include <utility>

namespace poplarpitch {

memory_account::memory_account(memory_budget& budget, endpoint_kind kind, std::function<void()> on_evicted)
    : m_budget(budget), m_kind(kind), m_on_evicted(std::move(on_evicted)) {}

void memory_account::hold_message(std::size_t bytes, time_point since) {
    const memory_budget::eviction_key key{bytes <= memory_budget::max_short_message_bytes, since, this};
    if (!m_is_evictable || m_key != key) {
        release();
        m_key = key;
        m_is_evictable = true;
        m_budget.m_evictable.insert(key);
    }
    m_budget.update(m_kind, m_bytes, bytes);
    m_bytes = bytes;
    m_budget.enforce();
}

void memory_account::hold_request(std::size_t bytes) {
    release();
    m_is_handled = true;
    m_bytes = bytes;
    m_budget.m_handled += bytes;
    m_budget.update(m_kind, 0, bytes);
    m_budget.enforce();
}

void memory_account::release() {
    if (m_bytes == 0 && !m_is_evictable && !m_is_handled) {
        return; // a closed connection may outlive the budget
    }
    if (m_is_evictable) {
        m_budget.m_evictable.erase(m_key);
        m_is_evictable = false;
    }
    if (m_is_handled) {
        m_budget.m_handled -= m_bytes;
        m_is_handled = false;
    }
    m_budget.update(m_kind, m_bytes, 0);
    m_bytes = 0;
}

} // namespace poplarpitch
