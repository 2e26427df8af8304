#include "poplarpitch/gateway/leader_watch.h"

#include "poplarpitch/relay/relay_registry.h"

#include <vector>

namespace poplarpitch {
namespace {

constexpr duration max_told_age = milliseconds{500}; // an observer that heard the leader before is no help
constexpr duration path_check_interval = seconds{2}; // between two requests to a leader that is observed
constexpr duration observed_search_limit = milliseconds{800}; // an election takes 0.5 to 0.8 s

/// Returns one of `instances` other than these two, or 0 where there is none. When an instance is lost, only
/// the entry instances that observed through it choose another one.
std::uint32_t choose_observer(const std::set<std::uint32_t>& instances, std::uint32_t leader,
                              std::uint32_t lost, std::uint64_t own_hash) {
    std::vector<relay_instance> others;
    for (const auto ip : instances) {
        if (ip != leader && ip != lost) {
            others.push_back({ip, {}});
        }
    }
    return pick_relay(others, {}, own_hash).value_or(0);
}

} // namespace

void leader_watch::on_leader_status(std::uint32_t leader, bool wants_followers_asked,
                                    const std::set<std::uint32_t>& instances) {
    if (!wants_followers_asked) {
        m_observer = 0;
        return;
    }
    if (m_observer == 0 || m_observer == leader) {
        m_observer = choose_observer(instances, leader, m_lost_observer, m_own_hash);
        m_told_leader = 0;
    }
}

void leader_watch::on_observer_status(std::uint32_t told_leader, duration age, time_point now) {
    m_told_leader = told_leader;
    m_told_heard_at = now - age;
}

void leader_watch::on_observer_lost() {
    m_lost_observer = m_observer;
    m_observer = 0;
    m_told_leader = 0;
}

time_point leader_watch::get_heard_at(std::uint32_t leader) const {
    const bool is_told = m_observer != 0 && leader != 0 && m_told_leader == leader;
    return is_told ? m_told_heard_at : time_point{};
}

bool leader_watch::must_ask_leader(std::uint32_t leader, time_point now) const {
    return now - get_heard_at(leader) > max_told_age || now - m_leader_asked_at >= path_check_interval;
}

bool leader_watch::must_ask_all(duration searched) const {
    return m_observer == 0 || searched >= observed_search_limit;
}

} // namespace poplarpitch
