#pragma once

#include "poplarpitch/entry/remote_entry.h"
#include "poplarpitch/policy/request_router.h"

#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// Picks the entry that a request is forwarded to. What it knows is a heartbeat old, so it takes the better
/// of two at random: all entries picking the best one would bury it (Mitzenmacher, 2001). The same data
/// centre goes first. Thread safety: none, as for all methods.
class forward_router {
public:
    explicit forward_router(std::uint32_t seed) : m_random(seed | 1U) {}

    /// Takes what the entries advertise.
    void set_entries(std::vector<remote_entry> entries) { m_entries = std::move(entries); }
    /// Returns the entry for a request of `service`; with `needs_free_slot` only one with a free slot. Counts
    /// the request against what the entry advertised, until the next advertisement.
    std::optional<remote_entry> pick(const std::string& service, bool needs_free_slot);
    /// Returns true when some other entry advertises slots for `service`, free or not.
    [[nodiscard]] bool has_slots(const std::string& service) const;

private:
    std::vector<remote_entry> m_entries;
    routing_random m_random;
};

} // namespace poplarpitch
