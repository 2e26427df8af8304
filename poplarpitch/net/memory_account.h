#pragma once

#include "poplarpitch/net/memory_budget.h"

#include <cstddef>
#include <functional>

namespace poplarpitch {

/// What one connection holds of a memory budget. Thread safety: none, as for all methods.
class memory_account {
public:
    /// `on_evicted` closes the connection when the budget needs its memory; the account holds nothing by
    /// then. Precondition: `budget` outlives the account.
    memory_account(memory_budget& budget, endpoint_kind kind, std::function<void()> on_evicted);
    ~memory_account() { release(); }
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    /// Holds this many bytes for a message that is under way since `since`. May close connections, also this
    /// one: the caller has to look whether its connection is still open.
    void hold_message(std::size_t bytes, time_point since);
    /// Holds this many bytes for a request that is being handled. Its connection is not closed.
    void hold_request(std::size_t bytes);
    /// Holds nothing any more.
    void release();
    [[nodiscard]] memory_budget& get_budget() const { return m_budget; }

private:
    friend class memory_budget;

    memory_budget& m_budget;
    endpoint_kind m_kind;
    std::function<void()> m_on_evicted;
    std::size_t m_bytes = 0;
    bool m_is_evictable = false;
    bool m_is_handled = false;
    memory_budget::eviction_key m_key;
};

} // namespace poplarpitch
