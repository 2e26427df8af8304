#include "poplarpitch/consensus/raft_node.h"

#include "poplarpitch/consensus/consensus_error.h"

#include <algorithm>
#include <cassert>

namespace poplarpitch {

raft_node::raft_node(const raft_settings& settings, raft_start start, time_point now, const raft_rules& rules)
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
    // A restarted node has forgotten when it last heard a leader. It counts its start as that moment, so that
    // the leader lease of a leader it may have just answered stays true.
    m_last_heard = now;
    refresh_membership();
    reset_election_timer(now);
}

// ---- time

void raft_node::tick(time_point now) {
    if (m_role == raft_role::leader) {
        if (m_transfer_target != 0 && now >= m_transfer_deadline) {
            // The target may still stand for election with a forced vote at any time, so no lease can be
            // granted in this term any more: give it up.
            become_follower(m_state.term, 0, now);
            return;
        }
        if (now - m_quorum_contact > m_settings.election_timeout_max) {
            become_follower(m_state.term, 0, now); // check-quorum
            return;
        }
        if (now >= m_next_heartbeat) {
            resend_lost();
            start_round(now);
        }
        return;
    }
    if (now >= m_election_deadline) {
        if (m_members.is_voter(m_id)) {
            start_pre_vote(now);
        } else {
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
    return m_role == raft_role::leader || now - m_last_heard < m_settings.election_timeout_min;
}

void raft_node::on_vote_request(const raft_message& message, time_point now) {
    const bool is_pre = message.type == raft_message_type::pre_vote_request;
    const auto type = is_pre ? raft_message_type::pre_vote_answer : raft_message_type::vote_answer;
    auto answer = make_message(type, message.from);
    answer.reject = true;
    const bool is_blocked = !message.forced && has_recent_leader(now);
    if (is_blocked || message.term < m_state.term) {
        m_output.messages.push_back(std::move(answer));
        return;
    }
    if (is_pre) {
        answer.reject = message.term <= m_state.term || !is_log_complete(message);
        answer.term = answer.reject ? m_state.term : message.term;
        m_output.messages.push_back(std::move(answer));
        return;
    }
    if (message.term > m_state.term) {
        become_follower(message.term, 0, now);
    }
    const bool is_free = m_state.vote == 0 || m_state.vote == message.from || !m_rules.one_vote_per_term;
    if (is_free && m_role == raft_role::follower && is_log_complete(message)) {
        set_term(m_state.term, message.from);
        reset_election_timer(now);
        answer.reject = false;
    }
    answer.term = m_state.term;
    m_output.messages.push_back(std::move(answer));
}

void raft_node::on_vote_answer(const raft_message& message, time_point now) {
    const bool is_pre = message.type == raft_message_type::pre_vote_answer;
    if (is_pre) {
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
    if (is_pre) {
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
    sync_progress();
    // The round counter goes on over terms, so that an answer to an older term's round never counts.
    m_confirmed_round = m_round;
    m_round_times.clear();
    m_quorum_contact = now;
    m_own_first = m_log.get_last_index() + 1;
    if (m_log.get_last_index() == 0) {
        // The first entry of a new cluster names its members, so that every later node learns them from the
        // log.
        m_members_index = 1;
        append_own(entry_kind::membership, m_members.encode());
    } else {
        append_own(entry_kind::none, {});
    }
    start_round(now);
}

// ---- messages in

void raft_node::step(const raft_message& message, time_point now) {
    if (message.to != m_id || message.from == m_id) {
        return;
    }
    switch (message.type) {
    case raft_message_type::pre_vote_request:
    case raft_message_type::vote_request:
        on_vote_request(message, now);
        return;
    case raft_message_type::pre_vote_answer:
        if (message.reject && message.term > m_state.term) {
            become_follower(message.term, 0, now);
            return;
        }
        on_vote_answer(message, now);
        return;
    default:
        break;
    }
    if (message.term > m_state.term) {
        become_follower(message.term, 0, now);
    }
    switch (message.type) {
    case raft_message_type::vote_answer:
        on_vote_answer(message, now);
        break;
    case raft_message_type::append_request:
        on_append_request(message, now);
        break;
    case raft_message_type::append_answer:
        on_append_answer(message, now);
        break;
    case raft_message_type::snapshot_request:
        on_snapshot_request(message, now);
        break;
    case raft_message_type::snapshot_answer:
        on_snapshot_answer(message, now);
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

// ---- follower

void raft_node::on_append_request(const raft_message& message, time_point now) {
    auto answer = make_message(raft_message_type::append_answer, message.from);
    answer.round = message.round;
    if (message.term < m_state.term) {
        answer.reject = true;
        m_output.messages.push_back(std::move(answer));
        return;
    }
    if (m_role != raft_role::follower || m_leader != message.from) {
        become_follower(message.term, message.from, now);
    }
    m_last_heard = now;
    reset_election_timer(now);

    // 1. What the snapshot or the commit index already covers matches by definition.
    if (message.index < m_log.get_base_index()) {
        answer.index = m_commit;
        m_output.messages.push_back(std::move(answer));
        return;
    }
    // 2. The entry before the new ones must be the leader's.
    const auto previous = m_log.find_term(message.index);
    const bool is_match =
        previous.has_value() && (*previous == message.index_term || !m_rules.append_checks_previous);
    if (!is_match) {
        answer.reject = true;
        // Skip the whole conflicting term at once, but never below what is committed.
        auto hint = std::min(message.index == 0 ? 0 : message.index - 1, m_log.get_last_index());
        while (hint > m_commit && previous.has_value() && m_log.find_term(hint) == previous) {
            --hint;
        }
        answer.index = hint;
        m_output.messages.push_back(std::move(answer));
        return;
    }
    // 3. Store what is new, and follow the leader's commit index as far as this message vouches for.
    store_entries(message.entries);
    const auto vouched = message.index + message.entries.size();
    answer.index = vouched;
    set_commit(std::min<log_index>(message.commit, vouched));
    m_output.messages.push_back(std::move(answer));
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
    assert(index > m_commit || m_rules != raft_rules{}); // committed entries never go
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
        auto answer = make_message(raft_message_type::snapshot_answer, message.from);
        answer.reject = true;
        m_output.messages.push_back(std::move(answer));
        return;
    }
    if (m_role != raft_role::follower || m_leader != message.from) {
        become_follower(message.term, message.from, now);
    }
    m_last_heard = now;
    reset_election_timer(now);
    auto answer = make_message(raft_message_type::snapshot_answer, message.from);
    answer.index = message.index;
    answer.round = message.round;
    if (message.index <= m_commit) {
        answer.last = true;
        m_output.messages.push_back(std::move(answer));
        return;
    }
    if (m_incoming_index != message.index || m_incoming_term != message.index_term || message.offset == 0) {
        m_incoming.clear();
        m_incoming_index = message.index;
        m_incoming_term = message.index_term;
    }
    if (message.offset == m_incoming.size()) {
        m_incoming += message.data;
        if (message.last) {
            raft_snapshot snapshot{message.index, message.index_term, message.members,
                                   std::make_shared<const std::string>(std::move(m_incoming))};
            m_incoming = {};
            m_incoming_index = 0;
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
            answer.last = true;
            m_output.messages.push_back(std::move(answer));
            return;
        }
    }
    answer.offset = m_incoming.size();
    m_output.messages.push_back(std::move(answer));
}

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
    append_own(entry_kind::command, std::move(payload));
    return m_log.get_last_index();
}

void raft_node::append_own(entry_kind kind, std::string payload) {
    log_entry entry{m_log.get_last_index() + 1, m_state.term, kind, std::move(payload)};
    m_output.entries.push_back(entry);
    m_log.append(std::move(entry));
    advance_commit(); // a single voter commits at once
}

void raft_node::start_round(time_point now) {
    ++m_round;
    m_round_times[m_round] = now;
    m_next_heartbeat = now + m_settings.heartbeat_interval;
    for (auto& [id, progress] : m_progress) {
        send_append(id, progress);
    }
    confirm_rounds();
}

void raft_node::resend_lost() {
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
    if (progress.next <= m_log.get_last_index()) {
        request.entries = m_log.copy_from(progress.next, m_settings.max_append_bytes);
        progress.next += request.entries.size();
        ++progress.inflight;
    }
    m_output.messages.push_back(std::move(request));
}

void raft_node::send_pending(node_id to, raft_progress& progress) {
    while (!progress.is_sending_snapshot && progress.next <= m_log.get_last_index() &&
           progress.inflight < m_settings.max_inflight) {
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

void raft_node::on_append_answer(const raft_message& message, time_point now) {
    const auto found = m_progress.find(message.from);
    if (m_role != raft_role::leader || message.term != m_state.term || found == m_progress.end()) {
        return;
    }
    auto& progress = found->second;
    progress.last_answer = now;
    progress.acked_round = std::max(progress.acked_round, message.round);
    confirm_rounds();
    if (m_role != raft_role::leader) {
        return;
    }
    progress.inflight = progress.inflight > 0 ? progress.inflight - 1 : 0;
    if (message.reject) {
        if (message.index < progress.match) {
            return; // an old answer
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
    check_transfer(message.from, progress);
    send_pending(message.from, progress);
}

void raft_node::on_snapshot_answer(const raft_message& message, time_point now) {
    const auto found = m_progress.find(message.from);
    if (m_role != raft_role::leader || message.term != m_state.term || found == m_progress.end()) {
        return;
    }
    auto& progress = found->second;
    progress.last_answer = now;
    progress.acked_round = std::max(progress.acked_round, message.round);
    confirm_rounds();
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
        progress.snapshot_offset = message.offset; // it restarted; the next heartbeat goes on from there
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
    const bool is_own = m_log.find_term(candidate) == m_state.term || !m_rules.commit_needs_own_term;
    if (candidate > m_commit && is_own) {
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
    if (!has_own_commit()) {
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

bool raft_node::has_own_commit() const {
    return m_role == raft_role::leader && m_commit >= m_own_first;
}

bool raft_node::has_lease(time_point now) const {
    return has_own_commit() && m_transfer_target == 0 &&
           now < m_quorum_contact + m_settings.election_timeout_min - m_settings.drift_margin;
}

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
    if (m_rules.membership_needs_own_term && !has_own_commit()) {
        return make_error_code(consensus_errc::no_own_commit);
    }
    if (m_rules.one_membership_change && m_members_index > m_commit) {
        return make_error_code(consensus_errc::change_in_progress);
    }
    log_entry entry{m_log.get_last_index() + 1, m_state.term, entry_kind::membership, next.encode()};
    m_members = next;
    m_members_index = entry.index;
    m_output.entries.push_back(entry);
    m_log.append(std::move(entry));
    sync_progress();
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

void raft_node::sync_progress() {
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
    check_transfer(id, found->second);
    return boost::outcome_v2::success();
}

void raft_node::check_transfer(node_id from, const raft_progress& progress) {
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
        // A leader that is no longer a member leads until the entry that removed it is committed.
        if (!m_members.is_voter(m_id) && m_commit >= m_members_index) {
            fail_reads();
            m_role = raft_role::follower;
            m_leader = 0;
            m_progress.clear();
        }
    }
    return std::exchange(m_output, {});
}

void raft_node::compact(raft_snapshot snapshot, std::uint64_t keep) {
    assert(snapshot.index <= m_output_commit);
    if (snapshot.index <= m_snapshot.index) {
        return;
    }
    const auto end = snapshot.index > keep ? snapshot.index - keep : 0;
    if (end > m_log.get_base_index()) {
        m_log.compact(end);
    }
    m_snapshot = std::move(snapshot);
}

} // namespace poplarpitch
