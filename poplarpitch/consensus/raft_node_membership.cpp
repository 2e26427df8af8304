// Single-server membership changes.
#include "poplarpitch/consensus/raft_node.h"

#include "poplarpitch/consensus/consensus_error.h"

#include <algorithm>

namespace poplarpitch {

// ---- membership

result<log_index> raft_node::add_learner(node_id id, time_point now) {
    if (m_members.has(id)) {
        return make_error_code(consensus_errc::already_member);
    }
    return change_membership(m_members.with_learner(id), now);
}

result<log_index> raft_node::promote(node_id id, time_point now) {
    if (m_role != raft_role::leader) {
        return make_error_code(consensus_errc::not_leader);
    }
    const auto found = m_progress.find(id);
    if (!m_members.is_learner(id) || found == m_progress.end()) {
        return make_error_code(consensus_errc::unknown_node);
    }
    if (found->second.match + m_settings.catch_up_gap < m_log.get_last_index()) {
        return make_error_code(consensus_errc::not_caught_up);
    }
    return change_membership(m_members.with_voter(id), now);
}

result<log_index> raft_node::remove(node_id id, time_point now) {
    if (m_role == raft_role::leader && !m_members.has(id)) {
        return make_error_code(consensus_errc::unknown_node);
    }
    if (m_members.voters == std::vector<node_id>{id}) {
        return make_error_code(consensus_errc::last_voter);
    }
    return change_membership(m_members.without(id), now);
}

result<log_index> raft_node::change_membership(const raft_membership& next, time_point now) {
    if (m_role != raft_role::leader) {
        return make_error_code(consensus_errc::not_leader);
    }
    if (m_transfer_target != 0) {
        return make_error_code(consensus_errc::transfer_in_progress);
    }
    if (m_rules.membership_needs_own_term && !has_committed_in_term()) {
        return make_error_code(consensus_errc::no_commit_in_term);
    }
    if (m_rules.one_membership_change && m_members_index > m_commit) {
        return make_error_code(consensus_errc::change_in_progress);
    }
    log_entry entry{m_log.get_last_index() + 1, m_state.term, entry_kind::membership, next.encode()};
    m_members = next;
    m_members_index = entry.index;
    m_output.entries.push_back(entry);
    m_log.append(std::move(entry));
    reconcile_progress();
    advance_commit();
    if (m_role == raft_role::leader) {
        start_round(now);
    }
    return m_members_index;
}

void raft_node::refresh_membership() {
    m_members = m_snapshot.index != 0 ? m_snapshot.members : m_initial;
    m_members_index = m_snapshot.index;
    for (auto index = m_log.get_last_index(); index > m_log.get_base_index(); --index) {
        const auto& entry = m_log.at(index);
        if (entry.kind == entry_kind::membership) {
            m_members = raft_membership::decode(entry.payload);
            m_members_index = index;
            return;
        }
    }
}

void raft_node::reconcile_progress() {
    std::erase_if(m_progress, [&](const auto& item) { return !m_members.has(item.first); });
    const auto add = [&](node_id id) {
        if (id != m_id && !m_progress.contains(id)) {
            raft_progress progress;
            progress.next = m_log.get_last_index() + 1;
            m_progress.emplace(id, progress);
        }
    };
    std::for_each(m_members.voters.begin(), m_members.voters.end(), add);
    std::for_each(m_members.learners.begin(), m_members.learners.end(), add);
}

std::size_t raft_node::get_quorum() const {
    if (!m_rules.quorum_is_majority) {
        return std::max<std::size_t>(1, m_members.voters.size() / 2);
    }
    return m_members.get_quorum();
}

} // namespace poplarpitch
