#include "poplarpitch/relay/relay_registry.h"

#include "poplarpitch/core/hash.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace poplarpitch {
namespace {

/// Returns a worker's preference for a relay. The relay with the highest value is chosen.
std::uint64_t get_preference(std::uint32_t ip, std::uint64_t worker_hash) {
    std::array<char, sizeof(ip) + sizeof(worker_hash)> bytes{};
    std::memcpy(bytes.data(), &ip, sizeof(ip));
    std::memcpy(bytes.data() + sizeof(ip), &worker_hash, sizeof(worker_hash));
    return hash_bytes({bytes.data(), bytes.size()});
}

} // namespace

std::optional<std::uint32_t> pick_relay(const std::vector<relay_instance>& relays,
                                        const std::string& data_centre, std::uint64_t worker_hash) {
    std::optional<std::uint32_t> best;
    bool is_best_near = false;
    std::uint64_t highest = 0;
    for (const auto& relay : relays) {
        const bool is_near = relay.data_centre == data_centre;
        const auto preference = get_preference(relay.ip, worker_hash);
        const bool is_better = is_near != is_best_near ? is_near : preference > highest;
        if (!best.has_value() || is_better) {
            best = relay.ip;
            is_best_near = is_near;
            highest = preference;
        }
    }
    return best;
}

void relay_registry::clear() {
    m_relays.clear();
    m_last_contact.clear();
}

bool relay_registry::record_contact(const relay_instance& relay, time_point now) {
    const auto [found, is_new] = m_last_contact.insert_or_assign(relay.ip, now);
    if (is_new) {
        m_relays.insert(std::lower_bound(m_relays.begin(), m_relays.end(), relay), relay);
    }
    return is_new;
}

void relay_registry::ignore_silence(duration pause) {
    for (auto& [ip, last_contact] : m_last_contact) {
        last_contact += pause;
    }
}

std::vector<std::uint32_t> relay_registry::remove_timed_out(time_point now) {
    std::vector<std::uint32_t> lost;
    for (const auto& [ip, last_contact] : m_last_contact) {
        if (now - last_contact > m_settings.peer_timeout) {
            lost.push_back(ip);
        }
    }
    for (const auto ip : lost) {
        m_last_contact.erase(ip);
        std::erase_if(m_relays, [ip](const relay_instance& relay) { return relay.ip == ip; });
    }
    return lost;
}

std::optional<std::uint32_t> relay_registry::pick(const std::string& data_centre,
                                                  std::uint64_t worker_hash) const {
    return pick_relay(m_relays, data_centre, worker_hash);
}

} // namespace poplarpitch
