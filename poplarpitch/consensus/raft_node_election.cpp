// Elections: pre-vote, votes and role changes.
#include "poplarpitch/consensus/raft_node.h"

namespace poplarpitch {

// ---- elections

void raft_node::start_pre_vote(time_point now) {
    fail_reads();
    m_role = raft_role::pre_candidate;
    m_leader = 0;
    m_votes = {m_id};
    reset_election_timer(now);
    if (m_votes.size() >= get_quorum()) {
        start_election(now, false);
        return;
    }
    send_vote_requests(raft_message_type::pre_vote_request, m_state.term + 1, false);
}

void raft_node::start_election(time_point now, bool is_forced) {
    m_role = raft_role::candidate;
    m_leader = 0;
    set_term(m_state.term + 1, m_id);
    m_votes = {m_id};
    reset_election_timer(now);
    if (m_votes.size() >= get_quorum()) {
        become_leader(now);
        return;
    }
    send_vote_requests(raft_message_type::vote_request, m_state.term, is_forced);
}

void raft_node::send_vote_requests(raft_message_type type, log_term term, bool is_forced) {
    for (const auto voter : m_members.voters) {
        if (voter == m_id) {
            continue;
        }
        auto request = make_message(type, voter);
        request.term = term;
        request.index = m_log.get_last_index();
        request.index_term = m_log.get_last_term();
        request.forced = is_forced;
        m_output.messages.push_back(std::move(request));
    }
}

bool raft_node::is_log_complete(const raft_message& message) const {
    if (!m_rules.vote_needs_complete_log) {
        return true;
    }
    if (message.index_term != m_log.get_last_term()) {
        return message.index_term > m_log.get_last_term();
    }
    return message.index >= m_log.get_last_index();
}

bool raft_node::has_recent_leader(time_point now) const {
    return m_role == raft_role::leader || now - m_last_leader_contact < m_settings.election_timeout_min;
}

void raft_node::on_vote_request(const raft_message& message, time_point now) {
    const bool is_pre_vote = message.type == raft_message_type::pre_vote_request;
    const auto type = is_pre_vote ? raft_message_type::pre_vote_response : raft_message_type::vote_response;
    auto response = make_message(type, message.from);
    response.reject = true;
    const bool is_blocked = !message.forced && has_recent_leader(now);
    if (is_blocked || message.term < m_state.term) {
        m_output.messages.push_back(std::move(response));
        return;
    }
    if (is_pre_vote) {
        response.reject = message.term <= m_state.term || !is_log_complete(message);
        response.term = response.reject ? m_state.term : message.term;
        m_output.messages.push_back(std::move(response));
        return;
    }
    if (message.term > m_state.term) {
        become_follower(message.term, 0, now);
    }
    const bool can_vote = m_state.vote == 0 || m_state.vote == message.from || !m_rules.one_vote_per_term;
    if (can_vote && m_role == raft_role::follower && is_log_complete(message)) {
        set_term(m_state.term, message.from);
        reset_election_timer(now);
        response.reject = false;
    }
    response.term = m_state.term;
    m_output.messages.push_back(std::move(response));
}

void raft_node::on_vote_response(const raft_message& message, time_point now) {
    const bool is_pre_vote = message.type == raft_message_type::pre_vote_response;
    if (is_pre_vote) {
        if (m_role != raft_role::pre_candidate || message.reject || message.term != m_state.term + 1) {
            return;
        }
    } else if (m_role != raft_role::candidate || message.reject || message.term != m_state.term) {
        return;
    }
    if (!m_members.is_voter(message.from)) {
        return;
    }
    m_votes.insert(message.from);
    if (m_votes.size() < get_quorum()) {
        return;
    }
    if (is_pre_vote) {
        start_election(now, false);
    } else {
        become_leader(now);
    }
}

void raft_node::set_term(log_term term, node_id vote) {
    m_state = {term, vote};
    m_output.state = m_state;
}

void raft_node::become_follower(log_term term, node_id leader, time_point now) {
    fail_reads();
    m_role = raft_role::follower;
    m_leader = leader;
    m_progress.clear();
    m_round_times.clear();
    m_transfer_target = 0;
    m_uncommitted_bytes = 0;
    if (term > m_state.term) {
        set_term(term, 0);
    }
    reset_election_timer(now);
}

void raft_node::become_leader(time_point now) {
    m_role = raft_role::leader;
    m_leader = m_id;
    m_transfer_target = 0;
    m_uncommitted_bytes = 0;
    m_reads.clear();
    m_progress.clear();
    reconcile_progress();
    // The round counter continues across terms, so that a response to a round of an older term never counts.
    m_confirmed_round = m_round;
    m_round_times.clear();
    m_quorum_contact = now;
    m_term_first_index = m_log.get_last_index() + 1;
    if (m_log.get_last_index() == 0) {
        // The first entry of a new cluster holds its membership, so that nodes that join later learn it from
        // the log.
        m_members_index = 1;
        append_entry(entry_kind::membership, m_members.encode());
    } else {
        append_entry(entry_kind::none, {});
    }
    start_round(now);
}

} // namespace poplarpitch
