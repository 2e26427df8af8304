#include "poplarpitch/consensus/raft_node.h"

#include "poplarpitch/consensus/consensus_error.h"

#include <algorithm>
#include <cassert>

namespace poplarpitch {

raft_node::raft_node(const raft_settings& settings, raft_initial_state start, time_point now,
                     const raft_rules& rules)
    : m_settings(settings), m_rules(rules), m_id(start.id),
      m_random(start.seed ^ (start.id * 0x9e3779b97f4a7c15ULL)), m_state(start.state),
      m_snapshot(std::move(start.snapshot)), m_initial(std::move(start.initial)) {
    assert(m_id != 0);
    m_log.reset(m_snapshot.index, m_snapshot.term);
    for (auto& entry : start.entries) {
        m_log.append(std::move(entry));
    }
    m_commit = m_snapshot.index;
    m_output_commit = m_snapshot.index;
    // A restarted node does not know when it last received a message from a leader. It uses its start time,
    // so that the lease of a leader to which it responded just before the restart stays valid.
    m_last_leader_contact = now;
    refresh_membership();
    reset_election_timer(now);
}

// ---- timers

void raft_node::tick(time_point now) {
    if (m_role == raft_role::leader) {
        if (m_transfer_target != 0 && now >= m_transfer_deadline) {
            // The target may still start a forced election at any time, so this leader cannot hold a lease
            // again in this term. It steps down.
            become_follower(m_state.term, 0, now);
            return;
        }
        if (now - m_quorum_contact > m_settings.election_timeout_max) {
            become_follower(m_state.term, 0, now); // check-quorum: no quorum responded
            return;
        }
        if (now >= m_next_heartbeat) {
            rewind_stalled_followers();
            start_round(now);
        }
        return;
    }
    if (now >= m_election_deadline) {
        if (m_members.is_voter(m_id)) {
            start_pre_vote(now);
        } else {
            // A learner, or a removed node that does not know of it: no leader sent anything for a timeout.
            m_leader = 0;
            reset_election_timer(now);
        }
    }
}

time_point raft_node::get_next_deadline() const {
    return m_role == raft_role::leader ? m_next_heartbeat : m_election_deadline;
}

void raft_node::reset_election_timer(time_point now) {
    const auto low = m_settings.election_timeout_min.count();
    const auto high = m_settings.election_timeout_max.count();
    const auto span = static_cast<std::uint64_t>(high - low + 1);
    m_election_deadline = now + duration{low + static_cast<std::int64_t>(m_random() % span)};
}

// ---- incoming messages

void raft_node::step(const raft_message& message, time_point now) {
    if (message.to != m_id || message.from == m_id) {
        return;
    }
    switch (message.type) {
    case raft_message_type::pre_vote_request:
    case raft_message_type::vote_request:
        on_vote_request(message, now);
        return;
    case raft_message_type::pre_vote_response:
        if (message.reject && message.term > m_state.term) {
            become_follower(message.term, 0, now);
            return;
        }
        on_vote_response(message, now);
        return;
    default:
        break;
    }
    if (message.term > m_state.term) {
        become_follower(message.term, 0, now);
    }
    switch (message.type) {
    case raft_message_type::vote_response:
        on_vote_response(message, now);
        break;
    case raft_message_type::append_request:
        on_append_request(message, now);
        break;
    case raft_message_type::append_response:
        on_append_response(message, now);
        break;
    case raft_message_type::snapshot_request:
        on_snapshot_request(message, now);
        break;
    case raft_message_type::snapshot_response:
        on_snapshot_response(message, now);
        break;
    case raft_message_type::timeout_now:
        if (message.term == m_state.term && m_members.is_voter(m_id) && m_role != raft_role::leader) {
            start_election(now, true);
        }
        break;
    default:
        break;
    }
}

// ---- reads and leases

result<std::uint64_t> raft_node::request_read(time_point now) {
    if (m_role != raft_role::leader) {
        return make_error_code(consensus_errc::not_leader);
    }
    const auto token = m_next_token++;
    m_reads.push_back({token, m_round + 1, m_commit});
    start_round(now);
    return token;
}

void raft_node::fail_reads() {
    for (const auto& read : m_reads) {
        m_output.failed_reads.push_back(read.token);
    }
    m_reads.clear();
}

bool raft_node::has_committed_in_term() const {
    return m_role == raft_role::leader && m_commit >= m_term_first_index;
}

bool raft_node::has_lease(time_point now) const {
    return has_committed_in_term() && m_transfer_target == 0 &&
           now < m_quorum_contact + m_settings.election_timeout_min - m_settings.drift_margin;
}

// ---- leadership transfer

result<void> raft_node::transfer_leadership(node_id id, time_point now) {
    if (m_role != raft_role::leader) {
        return make_error_code(consensus_errc::not_leader);
    }
    if (m_transfer_target != 0) {
        return make_error_code(consensus_errc::transfer_in_progress);
    }
    if (id == 0) {
        log_index best = 0;
        for (const auto& [other, progress] : m_progress) {
            if (m_members.is_voter(other) && (id == 0 || progress.match > best)) {
                id = other;
                best = progress.match;
            }
        }
    }
    const auto found = m_progress.find(id);
    if (found == m_progress.end() || !m_members.is_voter(id)) {
        return make_error_code(consensus_errc::unknown_node);
    }
    m_transfer_target = id;
    m_transfer_deadline = now + m_settings.transfer_timeout;
    continue_transfer(id, found->second);
    return boost::outcome_v2::success();
}

void raft_node::continue_transfer(node_id from, const raft_progress& progress) {
    if (m_transfer_target == from && progress.match == m_log.get_last_index()) {
        m_output.messages.push_back(make_message(raft_message_type::timeout_now, from));
    }
}

// ---- output

raft_message raft_node::make_message(raft_message_type type, node_id to) const {
    raft_message message;
    message.type = type;
    message.from = m_id;
    message.to = to;
    message.term = m_state.term;
    return message;
}

raft_output raft_node::take_output() {
    if (m_role == raft_role::leader) {
        for (auto& [id, progress] : m_progress) {
            send_pending(id, progress);
        }
        // A leader that is removed from the membership steps down once that change is committed.
        if (!m_members.is_voter(m_id) && m_commit >= m_members_index) {
            fail_reads();
            m_role = raft_role::follower;
            m_leader = 0;
            m_progress.clear();
        }
    }
    return std::exchange(m_output, {});
}

void raft_node::compact(raft_snapshot snapshot, std::uint64_t keep, std::size_t keep_bytes) {
    assert(snapshot.index <= m_output_commit);
    if (snapshot.index <= m_snapshot.index) {
        return;
    }
    auto end = snapshot.index;
    const auto lowest = std::max(m_log.get_base_index(), snapshot.index > keep ? snapshot.index - keep : 0);
    for (std::size_t bytes = 0; end > lowest; --end) {
        bytes += m_log.at(end).payload.size();
        if (bytes > keep_bytes) {
            break;
        }
    }
    if (end > m_log.get_base_index()) {
        m_log.compact(end);
    }
    m_snapshot = std::move(snapshot);
}

} // namespace poplarpitch
