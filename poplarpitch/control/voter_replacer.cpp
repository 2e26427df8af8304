#include "poplarpitch/control/voter_replacer.h"

#include "poplarpitch/consensus/raft_node.h"

#include <algorithm>

namespace poplarpitch {

std::optional<member_change> voter_replacer::run(const raft_node& node, time_point now) {
    const auto& progress = node.get_progress();
    const auto& members = node.get_membership();
    if (m_voter_to_remove != 0 && members.is_voter(m_voter_to_remove)) {
        return member_change{member_change::kind::remove, m_voter_to_remove};
    }
    m_voter_to_remove = 0;
    node_id lost = 0;
    for (const auto voter : members.voters) {
        const auto found = progress.find(voter);
        if (found == progress.end()) {
            continue;
        }
        const auto last = std::max(found->second.last_response, m_leading_since);
        if (now - last > m_voter_loss_timeout) {
            lost = voter;
        }
    }
    if (lost == 0) {
        return std::nullopt;
    }
    for (const auto learner : members.learners) {
        const auto found = progress.find(learner);
        const bool is_alive = found != progress.end() && now - found->second.last_response < seconds{2};
        if (is_alive && found->second.match == node.get_log().get_last_index()) {
            m_voter_to_remove = lost;
            return member_change{member_change::kind::promote, learner};
        }
    }
    return std::nullopt;
}

} // namespace poplarpitch
