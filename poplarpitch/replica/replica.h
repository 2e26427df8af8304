#pragma once

#include "poplarpitch/consensus/raft_node.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/net/background_task.h"
#include "poplarpitch/replica/founding.h"
#include "poplarpitch/replica/member_planner.h"
#include "poplarpitch/replica/node_phase.h"
#include "poplarpitch/replica/peer_mesh.h"
#include "poplarpitch/replica/replica_settings.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/raft_storage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch::wire {
class raft_message;
} // namespace poplarpitch::wire

namespace poplarpitch::job_wire {
class cluster_frame;
class cluster_status;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

class event_loop;
class frame_listener;
class frame_socket;

/// What became of a proposal.
enum class proposal_result : std::uint8_t {
    applied, ///< committed, and applied on this instance
    refused, ///< this instance does not lead; the proposal is nowhere
    unknown, ///< leadership was lost first: it may still be committed
};

/// What runs on top of the replicated log.
struct replica_handler {
    /// Applies a committed command. Called on every instance, in the order of the log.
    std::function<void(const log_entry&)> on_command;
    /// Returns all state as bytes, for a snapshot.
    std::function<std::string()> on_save;
    /// Replaces all state by a snapshot.
    std::function<void(const std::string&)> on_load;
    /// This instance leads, and everything committed before is applied here.
    std::function<void(log_term)> on_leading;
    /// This instance leads no longer.
    std::function<void()> on_leading_lost;
    /// A frame of another process that is not the log's own; `reply` sends one back on its connection.
    std::function<void(const job_wire::cluster_frame&,
                       const std::function<void(const job_wire::cluster_frame&)>&)>
        on_frame;
};

/// A control instance's part in the replicated log, on an event loop: raft node, storage, peers, founding and
/// membership.
///
/// Each turn takes all that arrived, steps the log, syncs once, then sends and applies. A thread of its own
/// waits for the disk, so that the loop serves workers and callers meanwhile; the log itself stands still:
/// what arrives for it is kept until the sync has ended, as if the sync had taken no time. So nothing is said
/// before it is on disk, and an instance whose disk stalls falls silent, so that another takes over. A failed
/// write or sync ends the process: the state of the disk is not known any more, and an answer that was not
/// given can be asked for again. Thread safety: the loop's thread, for all methods.
class replica {
public:
    /// Precondition: `loop` outlives the replica.
    replica(event_loop& loop, const replica_settings& settings, replica_handler handler);
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Opens the data folder and the port, and begins to found, join or take part.
    result<void> start();
    /// Commits a command; `on_result` is called once, in a later turn or before this returns.
    void propose(std::string payload, std::function<void(proposal_result)> on_result);
    /// Calls `on_ready(true)` once what was committed before the call is applied here and this instance has
    /// led until then; `on_ready(false)` when that cannot be said.
    void read(std::function<void(bool)> on_ready);
    /// Hands leadership on if this instance leads.
    void resign();

    /// Sends a frame to the instance at `ip`; it may be lost on the way. Returns false when it was not sent.
    bool send_frame(std::uint32_t ip, const job_wire::cluster_frame& frame);
    /// Returns the addresses of all other members, in host order.
    [[nodiscard]] std::vector<std::uint32_t> get_other_members() const;

    /// Returns true when this instance leads and no other can have been elected yet.
    [[nodiscard]] bool has_lease() const;
    /// Returns true when this instance leads and has applied everything committed before its term.
    [[nodiscard]] bool is_leading() const { return m_is_leading; }
    /// Returns the address of the leader's instance, in host order; 0 while none is known.
    [[nodiscard]] std::uint32_t get_leader_ip() const;
    [[nodiscard]] node_id get_id() const { return m_id; }
    [[nodiscard]] std::size_t get_voter_count() const;

private:
    struct pending_proposal {
        log_term term = 0;
        std::function<void(proposal_result)> on_result;
    };

    /// Tells what the disk holds.
    void log_stored_state() const;
    void start_node(const raft_membership& initial);
    void found_or_join();
    void request_statuses();
    void ask_to_join();
    void on_frame(std::uint32_t ip, const job_wire::cluster_frame& frame,
                  const std::function<void(const job_wire::cluster_frame&)>& reply);
    void on_status(std::uint32_t ip, const job_wire::cluster_status& status);
    [[nodiscard]] job_wire::cluster_status make_status() const;
    void accept(const std::shared_ptr<frame_socket>& socket);
    void take_turn();
    void save_output();
    void finish_output();
    void send(const raft_message& message);
    void take_message(const wire::raft_message& message);
    /// Calls `work` now, or once the sync under way has ended.
    void run_after_sync(std::function<void()> work);
    void run_deferred();
    void apply(const log_entry& entry);
    void update_role();
    void fail_pending_proposals();
    void update_membership();
    void take_snapshot_if_due();
    void arm_tick();
    [[nodiscard]] bool is_reported_leader_fresh() const;
    [[noreturn]] void end_process(const std::error_code& error);
    [[nodiscard]] std::vector<std::uint32_t> get_other_seeds() const;
    void propose_now(std::string payload, std::function<void(proposal_result)> on_result);
    void read_now(std::function<void(bool)> on_ready);

    event_loop& m_loop;
    replica_settings m_settings;
    replica_handler m_handler;
    std::uint32_t m_ip = 0;
    node_id m_id = 0;
    node_phase m_phase = node_phase::joining;
    posix_file_system m_files;
    std::unique_ptr<raft_storage<posix_file_system>> m_storage;
    stored_state m_stored;
    std::unique_ptr<raft_node> m_node;
    raft_output m_output; ///< being carried out; belongs to the disk's thread while `m_disk` runs
    result<void> m_save_result =
        boost::outcome_v2::success(); ///< what became of the last sync; belongs to the disk's thread too
    std::vector<std::function<void()>> m_deferred; ///< for the log, while `m_disk` runs
    std::size_t m_deferred_messages = 0;           ///< of other nodes, among them
    hard_state m_hard_state;
    raft_membership m_applied_members;
    log_index m_applied = 0;
    std::uint64_t m_bytes_at_snapshot = 0; ///< bytes written at the last snapshot
    member_planner m_planner;
    std::unique_ptr<peer_mesh> m_mesh;
    std::unique_ptr<frame_listener> m_listener;
    std::set<std::shared_ptr<frame_socket>> m_accepted;
    std::map<log_index, pending_proposal> m_proposals;
    std::map<std::uint64_t, std::function<void(bool)>> m_reads;
    std::map<std::uint32_t, seed_status> m_peer_statuses; ///< other instances, by address
    std::set<std::uint32_t> m_known_addresses;            ///< addresses of control instances heard of
    std::uint32_t m_reported_leader = 0; ///< leader by the word of others, while not a member
    time_point m_leader_reported_at{};
    raft_role m_last_role = raft_role::follower;
    log_term m_last_term = 0;
    bool m_is_leading = false;
    time_point m_leading_since{};
    time_point m_next_member_check{};
    std::uint64_t m_tick_timer = 0; ///< timer
    time_point m_tick_at{};
    background_task m_disk; ///< last: its work ends before what it touches goes
};

} // namespace poplarpitch
