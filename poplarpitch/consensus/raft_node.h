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

/// Initial state of a node, read from its disk.
struct raft_initial_state {
    node_id id = 0;
    hard_state state;
    raft_snapshot snapshot;
    std::vector<log_entry> entries; ///< entries after the snapshot
    raft_membership initial;        ///< membership of a new cluster; used until the snapshot or log has one
    std::uint64_t seed = 0;         ///< seed of the random election timeouts
};

/// One node of a replicated log, implemented as a deterministic state machine. Its inputs are messages,
/// proposals and time. Its output is a `raft_output`.
///
/// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014).
/// Pre-vote, check-quorum, leadership transfer, ReadIndex and single-server membership changes follow
/// Ongaro's thesis. Raft was chosen because its rules are the best known and therefore the easiest to review.
/// The class does no I/O and starts no thread, so a test can inject a fault between any two steps. Heartbeats
/// are sent in numbered rounds. The newest round that a quorum has acknowledged confirms reads, extends the
/// leader lease and drives check-quorum.
///
/// Thread safety: none, as for all methods. Time must not go backwards between calls.
class raft_node {
public:
    /// Starts as a follower with the state in `start`. Precondition: `start.id` is not 0.
    raft_node(const raft_settings& settings, raft_initial_state start, time_point now,
              const raft_rules& rules = {});

    /// Advances time. Starts elections, sends heartbeats and runs check-quorum as they become due.
    void tick(time_point now);
    /// Processes a message from another node.
    void step(const raft_message& message, time_point now);
    /// Appends a command and returns its index. After an error the command is not in the log.
    result<log_index> propose(std::string payload, time_point now);
    /// Starts a linearizable read. Its token is returned later in `raft_output::reads` or `failed_reads`.
    result<std::uint64_t> request_read(time_point now);

    /// Adds a learner, which receives the log but has no vote.
    result<log_index> add_learner(node_id id, time_point now);
    /// Makes a learner a voter. The learner must have caught up.
    result<log_index> promote(node_id id, time_point now);
    /// Removes a voter or learner. A leader that removes itself steps down once the change is committed.
    result<log_index> remove(node_id id, time_point now);
    /// Transfers leadership to `id`, or to the voter with the most complete log if `id` is 0.
    result<void> transfer_leadership(node_id id, time_point now);

    /// Returns the output produced since the last call. The driver must carry it out, as described at
    /// `raft_output`, before it calls any other method.
    [[nodiscard]] raft_output take_output();
    /// Removes the log entries that `snapshot` covers, except the last `keep` of them with payloads of
    /// `keep_bytes` together at most, so that a follower that is slightly behind needs no snapshot.
    /// Preconditions: the driver has stored the snapshot, and the snapshot covers only applied entries.
    void compact(raft_snapshot snapshot, std::uint64_t keep, std::size_t keep_bytes = SIZE_MAX);

    /// Returns the id of this node.
    [[nodiscard]] node_id get_id() const { return m_id; }
    /// Returns the role of this node in the current term.
    [[nodiscard]] raft_role get_role() const { return m_role; }
    /// Returns the current term.
    [[nodiscard]] log_term get_term() const { return m_state.term; }
    /// Returns the leader of the current term, or 0 when it is not known.
    [[nodiscard]] node_id get_leader() const { return m_leader; }
    /// Returns when this node last heard the leader. Meaningful on a follower that knows a leader.
    [[nodiscard]] time_point get_last_leader_contact() const { return m_last_leader_contact; }
    /// Returns the commit index.
    [[nodiscard]] log_index get_commit() const { return m_commit; }
    /// Returns the log entries after the compacted part.
    [[nodiscard]] const raft_log& get_log() const { return m_log; }
    /// Returns the newest membership in the log, committed or not.
    [[nodiscard]] const raft_membership& get_membership() const { return m_members; }
    /// Returns the newest snapshot.
    [[nodiscard]] const raft_snapshot& get_snapshot() const { return m_snapshot; }
    /// Returns the replication progress of the other members. Empty on a follower.
    [[nodiscard]] const std::map<node_id, raft_progress>& get_progress() const { return m_progress; }
    /// Returns true if this node leads, has committed an entry in its term, and no other node can have been
    /// elected in a newer term.
    [[nodiscard]] bool has_lease(time_point now) const;
    /// Returns true if this node leads and has committed an entry of its own term.
    [[nodiscard]] bool has_committed_in_term() const;
    /// Returns the time at which `tick` next has work to do.
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
    /// Accepts the sender as the leader of the current term and restarts the election timer.
    void follow_leader(const raft_message& message, time_point now);
    /// Records a follower's response. Returns the follower's progress, or null to ignore the response.
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
    /// Rewinds followers that confirmed nothing since the last heartbeat to their last confirmed entry.
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
    std::mt19937_64 m_random; ///< for election timeouts; seeded, so equal inputs give equal outputs

    hard_state m_state;
    raft_role m_role = raft_role::follower;
    node_id m_leader = 0;
    raft_log m_log;
    raft_snapshot m_snapshot;
    raft_membership m_initial;     ///< used until the snapshot or log has a membership
    raft_membership m_members;     ///< newest membership in the log, committed or not
    log_index m_members_index = 0; ///< index of the entry that holds it
    log_index m_commit = 0;
    log_index m_output_commit = 0; ///< last index returned in `committed`

    time_point m_election_deadline{};
    /// Time of the last message from a leader. Initially the start time, so that a restart allows no early
    /// vote.
    time_point m_last_leader_contact{};
    time_point m_next_heartbeat{};
    std::set<node_id> m_votes;

    std::map<node_id, raft_progress> m_progress;
    std::uint64_t m_round = 0;                         ///< newest heartbeat round
    std::map<std::uint64_t, time_point> m_round_times; ///< send times of unconfirmed rounds
    std::uint64_t m_confirmed_round = 0;
    time_point m_quorum_contact{}; ///< send time of the newest confirmed round
    std::vector<pending_read> m_reads;
    std::uint64_t m_next_token = 1;
    std::size_t m_uncommitted_bytes = 0;
    node_id m_transfer_target = 0;
    time_point m_transfer_deadline{};
    log_index m_term_first_index = 0; ///< index of the first entry of this leader's term

    std::string m_incoming_snapshot; ///< bytes of the snapshot being received
    log_index m_incoming_snapshot_index = 0;
    log_term m_incoming_snapshot_term = 0;

    raft_output m_output;
};

} // namespace poplarpitch
