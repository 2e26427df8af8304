// Leader side of replication: proposals, heartbeat rounds, follower progress and commits.
#include "poplarpitch/consensus/raft_node.h"

#include "poplarpitch/consensus/consensus_error.h"

#include <algorithm>
#include <functional>

namespace poplarpitch {

// ---- leader

result<log_index> raft_node::propose(std::string payload, time_point now) {
    if (m_role != raft_role::leader) {
        return make_error_code(consensus_errc::not_leader);
    }
    if (m_transfer_target != 0) {
        return make_error_code(consensus_errc::transfer_in_progress);
    }
    if (m_uncommitted_bytes + payload.size() > m_settings.max_uncommitted_bytes) {
        return make_error_code(consensus_errc::overloaded);
    }
    static_cast<void>(now);
    m_uncommitted_bytes += payload.size();
    append_entry(entry_kind::command, std::move(payload));
    return m_log.get_last_index();
}

void raft_node::append_entry(entry_kind kind, std::string payload) {
    log_entry entry{m_log.get_last_index() + 1, m_state.term, kind, std::move(payload)};
    m_output.entries.push_back(entry);
    m_log.append(std::move(entry));
    advance_commit(); // the only voter of a cluster commits at once
}

void raft_node::start_round(time_point now) {
    ++m_round;
    m_round_times[m_round] = now;
    m_next_heartbeat = now + m_settings.heartbeat_interval;
    for (auto& [id, progress] : m_progress) {
        ++progress.unanswered_rounds;
        send_append(id, progress);
    }
    confirm_rounds();
}

void raft_node::rewind_stalled_followers() {
    for (auto& [id, progress] : m_progress) {
        if (progress.match == progress.last_round_match && progress.next > progress.match + 1) {
            progress.inflight = 0;
            progress.next = std::max(progress.match, m_log.get_base_index()) + 1;
        }
        progress.last_round_match = progress.match;
    }
}

void raft_node::send_append(node_id to, raft_progress& progress) {
    if (progress.next <= m_log.get_base_index() && m_snapshot.index != 0) {
        progress.is_sending_snapshot = true;
    }
    if (progress.is_sending_snapshot) {
        send_snapshot_chunk(to, progress);
        return;
    }
    auto request = make_message(raft_message_type::append_request, to);
    request.round = m_round;
    request.commit = m_commit;
    request.index = progress.next - 1;
    request.index_term = m_log.find_term(request.index).value_or(0);
    if (!progress.is_silent() && progress.next <= m_log.get_last_index()) {
        request.entries = m_log.copy_from(progress.next, m_settings.max_append_bytes);
        progress.next += request.entries.size();
        ++progress.inflight;
    }
    m_output.messages.push_back(std::move(request));
}

void raft_node::send_pending(node_id to, raft_progress& progress) {
    while (!progress.is_silent() && !progress.is_sending_snapshot &&
           progress.next <= m_log.get_last_index() && progress.inflight < m_settings.max_inflight) {
        send_append(to, progress);
    }
}

void raft_node::send_snapshot_chunk(node_id to, raft_progress& progress) {
    if (progress.snapshot_index != m_snapshot.index) {
        progress.snapshot_index = m_snapshot.index;
        progress.snapshot_offset = 0;
    }
    auto request = make_message(raft_message_type::snapshot_request, to);
    request.round = m_round;
    request.index = m_snapshot.index;
    request.index_term = m_snapshot.term;
    request.members = m_snapshot.members;
    request.offset = progress.snapshot_offset;
    request.data = m_snapshot.data->substr(progress.snapshot_offset, m_settings.snapshot_chunk);
    request.last = progress.snapshot_offset + request.data.size() == m_snapshot.data->size();
    m_output.messages.push_back(std::move(request));
}

raft_progress* raft_node::record_response(const raft_message& message, time_point now) {
    const auto found = m_progress.find(message.from);
    if (m_role != raft_role::leader || message.term != m_state.term || found == m_progress.end()) {
        return nullptr;
    }
    found->second.last_response = now;
    found->second.unanswered_rounds = 0;
    found->second.acked_round = std::max(found->second.acked_round, message.round);
    confirm_rounds();
    return &found->second;
}

void raft_node::on_append_response(const raft_message& message, time_point now) {
    auto* follower = record_response(message, now);
    if (follower == nullptr) {
        return;
    }
    auto& progress = *follower;
    progress.inflight = progress.inflight > 0 ? progress.inflight - 1 : 0;
    if (message.reject) {
        if (message.index < progress.match) {
            return; // a stale response
        }
        progress.next = std::max(progress.match, message.index) + 1;
        progress.inflight = 0;
        if (progress.next <= m_log.get_base_index()) {
            progress.is_sending_snapshot = true;
        }
        send_append(message.from, progress);
        return;
    }
    const auto match = std::min(message.index, m_log.get_last_index());
    if (match > progress.match) {
        progress.match = match;
        advance_commit();
    }
    progress.next = std::max(progress.next, progress.match + 1);
    continue_transfer(message.from, progress);
    send_pending(message.from, progress);
}

void raft_node::on_snapshot_response(const raft_message& message, time_point now) {
    auto* follower = record_response(message, now);
    if (follower == nullptr) {
        return;
    }
    auto& progress = *follower;
    if (message.reject || !progress.is_sending_snapshot || message.index != progress.snapshot_index) {
        return;
    }
    if (message.last) {
        progress.is_sending_snapshot = false;
        progress.match = std::max(progress.match, message.index);
        progress.next = progress.match + 1;
        progress.inflight = 0;
        send_append(message.from, progress);
        return;
    }
    if (message.offset > progress.snapshot_offset) {
        progress.snapshot_offset = message.offset;
        send_snapshot_chunk(message.from, progress);
    } else if (message.offset < progress.snapshot_offset) {
        progress.snapshot_offset = message.offset; // it restarted; the next heartbeat resumes here
    }
}

void raft_node::advance_commit() {
    if (m_role != raft_role::leader) {
        return;
    }
    std::vector<log_index> matches;
    for (const auto voter : m_members.voters) {
        if (voter == m_id) {
            matches.push_back(m_log.get_last_index());
        } else {
            const auto found = m_progress.find(voter);
            matches.push_back(found == m_progress.end() ? 0 : found->second.match);
        }
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const auto candidate = matches[get_quorum() - 1];
    const bool is_current_term = m_log.find_term(candidate) == m_state.term || !m_rules.commit_needs_own_term;
    if (candidate > m_commit && is_current_term) {
        set_commit(candidate);
    }
}

void raft_node::set_commit(log_index index) {
    index = std::min(index, m_log.get_last_index());
    if (index <= m_commit) {
        return;
    }
    m_commit = index;
    while (m_output_commit < m_commit) {
        ++m_output_commit;
        const auto& entry = m_log.at(m_output_commit);
        m_uncommitted_bytes -= std::min(m_uncommitted_bytes, entry.payload.size());
        m_output.committed.push_back(entry);
    }
    if (m_role == raft_role::leader) {
        confirm_rounds();
    }
}

void raft_node::confirm_rounds() {
    std::vector<std::uint64_t> rounds;
    for (const auto voter : m_members.voters) {
        const auto found = m_progress.find(voter);
        rounds.push_back(voter == m_id ? m_round
                                       : (found == m_progress.end() ? 0 : found->second.acked_round));
    }
    if (rounds.empty()) {
        return;
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    const auto confirmed = rounds[get_quorum() - 1];
    if (confirmed > m_confirmed_round) {
        m_confirmed_round = confirmed;
        const auto sent = m_round_times.find(confirmed);
        if (sent != m_round_times.end()) {
            m_quorum_contact = sent->second;
        }
        m_round_times.erase(m_round_times.begin(), m_round_times.upper_bound(confirmed));
    }
    if (!has_committed_in_term()) {
        return;
    }
    std::erase_if(m_reads, [&](const pending_read& read) {
        const bool is_ready = read.round <= m_confirmed_round || !m_rules.read_needs_quorum_round;
        if (is_ready) {
            m_output.reads.push_back(read.token);
        }
        return is_ready;
    });
}

} // namespace poplarpitch
