#include "poplarpitch/net/memory_budget.h"

#include "poplarpitch/net/memory_account.h"

namespace poplarpitch {
namespace {

constexpr std::size_t short_request_divisor = 2; // share of the limit for requests that are being handled
constexpr std::size_t long_request_divisor = 4;  // the same, for requests that are not short

} // namespace

bool memory_budget::has_room_for_request(std::size_t bytes) const {
    const auto divisor = bytes <= max_short_message_bytes ? short_request_divisor : long_request_divisor;
    return m_handled + bytes <= m_limit / divisor;
}

void memory_budget::update(endpoint_kind kind, std::size_t former_bytes, std::size_t bytes) {
    auto& of_kind = m_held_by_kind[static_cast<std::size_t>(kind)];
    of_kind = of_kind - former_bytes + bytes;
    m_held = m_held - former_bytes + bytes;
}

void memory_budget::enforce() {
    while (m_held > m_limit && !m_evictable.empty()) {
        auto& account = *m_evictable.begin()->account;
        account.release();
        account.m_on_evicted();
    }
}

} // namespace poplarpitch
