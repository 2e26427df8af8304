// Follower side of replication: incoming entries and snapshots.
#include "poplarpitch/consensus/raft_node.h"

#include <algorithm>
#include <cassert>

namespace poplarpitch {

// ---- follower

void raft_node::follow_leader(const raft_message& message, time_point now) {
    if (m_role != raft_role::follower || m_leader != message.from) {
        become_follower(message.term, message.from, now);
    }
    m_last_leader_contact = now;
    reset_election_timer(now);
}

void raft_node::on_append_request(const raft_message& message, time_point now) {
    auto response = make_message(raft_message_type::append_response, message.from);
    response.round = message.round;
    if (message.term < m_state.term) {
        response.reject = true;
        m_output.messages.push_back(std::move(response));
        return;
    }
    follow_leader(message, now);

    // 1. Entries that the snapshot or the commit index covers match by definition.
    if (message.index < m_log.get_base_index()) {
        response.index = m_commit;
        m_output.messages.push_back(std::move(response));
        return;
    }
    // 2. The entry before the new ones must match the leader's.
    const auto previous = m_log.find_term(message.index);
    const bool is_match =
        previous.has_value() && (*previous == message.index_term || !m_rules.append_checks_previous);
    if (!is_match) {
        response.reject = true;
        // Skips the whole conflicting term at once, but never goes below the commit index.
        auto hint = std::min(message.index == 0 ? 0 : message.index - 1, m_log.get_last_index());
        while (hint > m_commit && previous.has_value() && m_log.find_term(hint) == previous) {
            --hint;
        }
        response.index = hint;
        m_output.messages.push_back(std::move(response));
        return;
    }
    // 3. Stores new entries and advances the commit index, at most to the last entry that matches now.
    store_entries(message.entries);
    const auto last_verified = message.index + message.entries.size();
    response.index = last_verified;
    set_commit(std::min<log_index>(message.commit, last_verified));
    m_output.messages.push_back(std::move(response));
}

void raft_node::store_entries(const std::vector<log_entry>& entries) {
    for (const auto& entry : entries) {
        const auto term = m_log.find_term(entry.index);
        if (term.has_value() && *term == entry.term) {
            continue;
        }
        if (entry.index <= m_log.get_base_index()) {
            continue;
        }
        if (term.has_value()) {
            truncate(entry.index);
        }
        m_log.append(entry);
        m_output.entries.push_back(entry);
        if (entry.kind == entry_kind::membership) {
            m_members = raft_membership::decode(entry.payload);
            m_members_index = entry.index;
        }
    }
}

void raft_node::truncate(log_index index) {
    assert(index > m_commit || m_rules != raft_rules{}); // committed entries are never removed
    m_log.truncate_from(index);
    std::erase_if(m_output.entries, [&](const log_entry& entry) { return entry.index >= index; });
    if (m_output.truncate_from == 0 || index < m_output.truncate_from) {
        m_output.truncate_from = index;
    }
    if (m_members_index >= index) {
        refresh_membership();
    }
}

void raft_node::on_snapshot_request(const raft_message& message, time_point now) {
    if (message.term < m_state.term) {
        auto response = make_message(raft_message_type::snapshot_response, message.from);
        response.reject = true;
        m_output.messages.push_back(std::move(response));
        return;
    }
    follow_leader(message, now);
    auto response = make_message(raft_message_type::snapshot_response, message.from);
    response.index = message.index;
    response.round = message.round;
    if (message.index <= m_commit) {
        response.last = true;
        m_output.messages.push_back(std::move(response));
        return;
    }
    if (m_incoming_snapshot_index != message.index || m_incoming_snapshot_term != message.index_term ||
        message.offset == 0) {
        m_incoming_snapshot.clear();
        m_incoming_snapshot_index = message.index;
        m_incoming_snapshot_term = message.index_term;
    }
    if (message.offset == m_incoming_snapshot.size()) {
        m_incoming_snapshot += message.data;
        if (message.last) {
            raft_snapshot snapshot{message.index, message.index_term, message.members,
                                   std::make_shared<const std::string>(std::move(m_incoming_snapshot))};
            m_incoming_snapshot = {};
            m_incoming_snapshot_index = 0;
            m_log.reset(snapshot.index, snapshot.term);
            m_snapshot = snapshot;
            m_members = snapshot.members;
            m_members_index = snapshot.index;
            m_commit = snapshot.index;
            m_output_commit = snapshot.index;
            m_output.entries.clear();
            m_output.committed.clear();
            m_output.truncate_from = 0;
            m_output.install = std::move(snapshot);
            response.last = true;
            m_output.messages.push_back(std::move(response));
            return;
        }
    }
    response.offset = m_incoming_snapshot.size();
    m_output.messages.push_back(std::move(response));
}

} // namespace poplarpitch
