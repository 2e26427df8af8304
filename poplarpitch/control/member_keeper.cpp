#include "poplarpitch/control/member_keeper.h"

#include "poplarpitch/consensus/raft_node.h"

#include <algorithm>

namespace poplarpitch {

std::optional<member_change> member_keeper::run(const raft_node& node, time_point now) {
    const auto& progress = node.get_progress();
    const auto& members = node.get_membership();
    if (m_replaced != 0 && members.is_voter(m_replaced)) {
        return member_change{member_change::kind::remove, m_replaced};
    }
    m_replaced = 0;
    node_id lost = 0;
    for (const auto voter : members.voters) {
        const auto found = progress.find(voter);
        if (found == progress.end()) {
            continue;
        }
        const auto last = std::max(found->second.last_answer, m_started);
        if (now - last > m_voter_loss) {
            lost = voter;
        }
    }
    if (lost == 0) {
        return std::nullopt;
    }
    for (const auto learner : members.learners) {
        const auto found = progress.find(learner);
        const bool is_alive = found != progress.end() && now - found->second.last_answer < seconds{2};
        if (is_alive && found->second.match == node.get_log().get_last_index()) {
            m_replaced = lost;
            return member_change{member_change::kind::promote, learner};
        }
    }
    return std::nullopt;
}

} // namespace poplarpitch
