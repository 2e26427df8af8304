#pragma once

#include "poplarpitch/entry/remote_entry.h"
#include "poplarpitch/policy/request_router.h"

#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// Picks the entry that a request is forwarded to. The advertised slots are one heartbeat old, so it picks
/// the better of two random entries. If all entries picked the best one, they would overload it
/// (Mitzenmacher, 2001). Entries of the same data centre are preferred. Thread safety: none, for all methods.
class forward_router {
public:
    explicit forward_router(std::uint32_t seed) : m_random(seed | 1U) {}

    /// Replaces the list of other entries with what they advertise now.
    void set_entries(std::vector<remote_entry> entries) { m_entries = std::move(entries); }
    /// Returns an entry for a request of `service`, or nothing when there is none. With `needs_free_slot` it
    /// considers only entries with a free slot. The request is deducted from the entry's advertised slots
    /// until the next advertisement.
    std::optional<remote_entry> pick(const std::string& service, bool needs_free_slot);
    /// Returns true when some other entry advertises slots for `service`, free or not.
    [[nodiscard]] bool has_slots(const std::string& service) const;

private:
    std::vector<remote_entry> m_entries;
    routing_random m_random;
};

} // namespace poplarpitch
