#include "poplarpitch/relay/relay_roster.h"

#include "poplarpitch/core/hash.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace poplarpitch {
namespace {

/// Returns a number by which a worker prefers one relay over another.
std::uint64_t get_preference(std::uint32_t ip, std::uint64_t spread) {
    std::array<char, sizeof(ip) + sizeof(spread)> bytes{};
    std::memcpy(bytes.data(), &ip, sizeof(ip));
    std::memcpy(bytes.data() + sizeof(ip), &spread, sizeof(spread));
    return hash_bytes({bytes.data(), bytes.size()});
}

} // namespace

std::optional<std::uint32_t> pick_relay(const std::vector<relay_place>& places,
                                        const std::string& data_centre, std::uint64_t spread) {
    std::optional<std::uint32_t> best;
    bool is_best_near = false;
    std::uint64_t highest = 0;
    for (const auto& place : places) {
        const bool is_near = place.data_centre == data_centre;
        const auto preference = get_preference(place.ip, spread);
        const bool is_better = is_near != is_best_near ? is_near : preference > highest;
        if (!best.has_value() || is_better) {
            best = place.ip;
            is_best_near = is_near;
            highest = preference;
        }
    }
    return best;
}

void relay_roster::clear() {
    m_places.clear();
    m_heard.clear();
}

bool relay_roster::on_heard(const relay_place& place, time_point now) {
    const auto [found, is_new] = m_heard.insert_or_assign(place.ip, now);
    if (is_new) {
        m_places.insert(std::lower_bound(m_places.begin(), m_places.end(), place), place);
    }
    return is_new;
}

std::vector<std::uint32_t> relay_roster::take_lost(time_point now) {
    std::vector<std::uint32_t> lost;
    for (const auto& [ip, heard] : m_heard) {
        if (now - heard > m_settings.silence) {
            lost.push_back(ip);
        }
    }
    for (const auto ip : lost) {
        m_heard.erase(ip);
        std::erase_if(m_places, [ip](const relay_place& place) { return place.ip == ip; });
    }
    return lost;
}

std::optional<std::uint32_t> relay_roster::pick(const std::string& data_centre, std::uint64_t spread) const {
    return pick_relay(m_places, data_centre, spread);
}

} // namespace poplarpitch
