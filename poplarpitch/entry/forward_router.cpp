#include "poplarpitch/entry/forward_router.h"

#include <algorithm>

namespace poplarpitch {

bool forward_router::has_slots(const std::string& service) const {
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const remote_entry& entry) {
        const auto found = entry.services.find(service);
        return found != entry.services.end() && found->second.total > 0;
    });
}

std::optional<remote_entry> forward_router::pick(const std::string& service, bool needs_free_slot) {
    std::vector<remote_entry*> near;
    std::vector<remote_entry*> far;
    for (auto& entry : m_entries) {
        const auto found = entry.services.find(service);
        if (found == entry.services.end() || found->second.total <= 0 ||
            (needs_free_slot && found->second.free <= 0)) {
            continue;
        }
        (entry.is_same_data_centre ? near : far).push_back(&entry);
    }
    auto& pool = near.empty() ? far : near;
    if (pool.empty()) {
        return std::nullopt;
    }
    auto* first = pool[m_random() % pool.size()];
    auto* second = pool[m_random() % pool.size()];
    auto* best = second->services[service].free > first->services[service].free ? second : first;
    --best->services[service].free;
    return *best;
}

} // namespace poplarpitch
