#include "poplarpitch/policy/worker_ledger.h"

#include <cassert>

namespace poplarpitch {

worker_ledger::worker_ledger(const resources& capacity) : m_capacity(capacity) {
    assert(capacity.is_valid());
}

bool worker_ledger::try_acquire(grant_id id, const resources& need) {
    assert(need.is_valid());
    if (!m_is_open || !get_free().can_fit(need)) {
        return false;
    }
    return adopt(id, need);
}

bool worker_ledger::adopt(grant_id id, const resources& need) {
    if (!m_grants.emplace(id, need).second) {
        return false;
    }
    m_granted += need;
    return true;
}

bool worker_ledger::release(grant_id id) {
    const auto found = m_grants.find(id);
    if (found == m_grants.end()) {
        return false;
    }
    m_granted -= found->second;
    m_grants.erase(found);
    return true;
}

bool worker_ledger::resize(grant_id id, const resources& need) {
    assert(need.is_valid());
    const auto found = m_grants.find(id);
    if (found == m_grants.end() || !(get_free() + found->second).can_fit(need)) {
        return false;
    }
    m_granted += need - found->second;
    found->second = need;
    return true;
}

} // namespace poplarpitch
