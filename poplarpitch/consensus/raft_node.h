#pragma once

#include "poplarpitch/consensus/raft_log.h"
#include "poplarpitch/consensus/raft_output.h"
#include "poplarpitch/consensus/raft_progress.h"
#include "poplarpitch/consensus/raft_role.h"
#include "poplarpitch/consensus/raft_rules.h"
#include "poplarpitch/consensus/raft_settings.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/core/time.h"

#include <map>
#include <random>
#include <set>

namespace poplarpitch {

/// What a node starts from: what its disk holds.
struct raft_start {
    node_id id = 0;
    hard_state state;
    raft_snapshot snapshot;
    std::vector<log_entry> entries; ///< behind the snapshot
    raft_membership initial;        ///< membership of a new cluster; used while nothing else is known
    std::uint64_t seed = 0;         ///< of the election timeouts
};

/// One node of a replicated log, as a pure state machine: messages, proposals and time in, a `raft_output`
/// out.
///
/// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
/// Ongaro's thesis for pre-vote, check-quorum, transfer, ReadIndex and single-server changes), chosen because
/// its rules are the best known and so the easiest to review. It does no I/O and has no thread, so a test can
/// place any fault between any two steps. Heartbeats are numbered rounds: the newest round that a quorum has
/// answered confirms reads, keeps the leader lease and drives check-quorum, one mechanism for three purposes.
///
/// Thread safety: none, as for all methods. Time must not go backwards between calls.
class raft_node {
public:
    raft_node(const raft_settings& settings, raft_start start, time_point now, const raft_rules& rules = {});

    /// Lets time pass: elections, heartbeats, check-quorum.
    void tick(time_point now);
    /// Takes a message of another node.
    void step(const raft_message& message, time_point now);
    /// Appends a command. Returns its index, or why it was refused; then it is nowhere in the log.
    result<log_index> propose(std::string payload, time_point now);
    /// Asks for a linearizable read. The token comes back in `raft_output::reads` or `failed_reads`.
    result<std::uint64_t> request_read(time_point now);

    /// Adds a learner. It receives the log and does not count.
    result<log_index> add_learner(node_id id, time_point now);
    /// Makes a learner that has caught up a voter.
    result<log_index> promote(node_id id, time_point now);
    /// Removes a voter or learner. A leader that removes itself steps down once that is committed.
    result<log_index> remove(node_id id, time_point now);
    /// Hands leadership to `id`, or to the voter with the most complete log when `id` is 0.
    result<void> transfer_leadership(node_id id, time_point now);

    /// Takes what is to be done since the last call. The driver carries it out before the next call of any
    /// method, see `raft_output`.
    [[nodiscard]] raft_output take_output();
    /// Drops the log up to `snapshot`, which the driver has stored, but for the `keep` entries before it, so
    /// that a follower a little behind needs no snapshot. Precondition: the snapshot covers applied entries
    /// only.
    void compact(raft_snapshot snapshot, std::uint64_t keep);

    [[nodiscard]] node_id get_id() const { return m_id; }
    [[nodiscard]] raft_role get_role() const { return m_role; }
    [[nodiscard]] log_term get_term() const { return m_state.term; }
    [[nodiscard]] node_id get_leader() const { return m_leader; }
    [[nodiscard]] log_index get_commit() const { return m_commit; }
    [[nodiscard]] const raft_log& get_log() const { return m_log; }
    [[nodiscard]] const raft_membership& get_membership() const { return m_members; }
    [[nodiscard]] const raft_snapshot& get_snapshot() const { return m_snapshot; }
    /// Returns what the leader knows of the others; empty on followers.
    [[nodiscard]] const std::map<node_id, raft_progress>& get_progress() const { return m_progress; }
    /// Returns true when this node leads, has committed in its term and no other can have been elected yet.
    [[nodiscard]] bool has_lease(time_point now) const;
    /// Returns true when the leader has committed an entry of its own term.
    [[nodiscard]] bool has_own_commit() const;
    /// Returns when the next `tick` has something to do.
    [[nodiscard]] time_point get_next_deadline() const;

private:
    struct pending_read {
        std::uint64_t token;
        std::uint64_t round;
        log_index index;
    };

    // elections
    void start_pre_vote(time_point now);
    void start_election(time_point now, bool is_forced);
    void become_follower(log_term term, node_id leader, time_point now);
    void become_leader(time_point now);
    void send_vote_requests(raft_message_type type, log_term term, bool is_forced);
    void on_vote_request(const raft_message& message, time_point now);
    void on_vote_response(const raft_message& message, time_point now);
    void set_term(log_term term, node_id vote);
    [[nodiscard]] bool is_log_complete(const raft_message& message) const;
    [[nodiscard]] bool has_recent_leader(time_point now) const;

    // replication
    /// Takes the sender as the leader of this term and starts the election timer anew.
    void follow_leader(const raft_message& message, time_point now);
    /// Notes that a follower answered; returns its progress, or null when the answer does not count.
    raft_progress* record_response(const raft_message& message, time_point now);
    void on_append_request(const raft_message& message, time_point now);
    void on_append_response(const raft_message& message, time_point now);
    void on_snapshot_request(const raft_message& message, time_point now);
    void on_snapshot_response(const raft_message& message, time_point now);
    void store_entries(const std::vector<log_entry>& entries);
    void truncate(log_index index);
    void append_entry(entry_kind kind, std::string payload);
    void start_round(time_point now);
    void send_append(node_id to, raft_progress& progress);
    /// Goes back to what is known to match where nothing was confirmed since the last heartbeat.
    void rewind_stalled_followers();
    void send_snapshot_chunk(node_id to, raft_progress& progress);
    void send_pending(node_id to, raft_progress& progress);
    void advance_commit();
    void set_commit(log_index index);
    void confirm_rounds();
    void continue_transfer(node_id from, const raft_progress& progress);

    // membership
    result<log_index> change_membership(const raft_membership& next, time_point now);
    void refresh_membership();
    void reconcile_progress();

    [[nodiscard]] std::size_t get_quorum() const;
    [[nodiscard]] raft_message make_message(raft_message_type type, node_id to) const;
    void reset_election_timer(time_point now);
    void fail_reads();

    raft_settings m_settings;
    raft_rules m_rules;
    node_id m_id = 0;
    std::mt19937_64 m_random; ///< of the election timeouts, seeded: same input, same output

    hard_state m_state;
    raft_role m_role = raft_role::follower;
    node_id m_leader = 0;
    raft_log m_log;
    raft_snapshot m_snapshot;
    raft_membership m_initial;     ///< used while neither snapshot nor log names one
    raft_membership m_members;     ///< newest in the log, committed or not
    log_index m_members_index = 0; ///< where it stands
    log_index m_commit = 0;
    log_index m_output_commit = 0; ///< handed out in `committed` up to here

    time_point m_election_deadline{};
    time_point m_last_heard{}; ///< from a leader; start counts, since a vote may be forgotten by no restart
    time_point m_next_heartbeat{};
    std::set<node_id> m_votes;

    std::map<node_id, raft_progress> m_progress;
    std::uint64_t m_round = 0;                         ///< newest heartbeat round of this leader
    std::map<std::uint64_t, time_point> m_round_times; ///< rounds that no quorum has answered yet
    std::uint64_t m_confirmed_round = 0;
    time_point m_quorum_contact{}; ///< when the newest confirmed round was sent
    std::vector<pending_read> m_reads;
    std::uint64_t m_next_token = 1;
    std::size_t m_uncommitted_bytes = 0;
    node_id m_transfer_target = 0;
    time_point m_transfer_deadline{};
    log_index m_term_first_index = 0; ///< index of the entry that opened this leader's term

    std::string m_incoming; ///< snapshot being received
    log_index m_incoming_index = 0;
    log_term m_incoming_term = 0;

    raft_output m_output;
};

} // namespace poplarpitch
