#pragma once

#include "poplarpitch/consensus/raft_node.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/net/background_task.h"
#include "poplarpitch/replica/link_acceptor.h"
#include "poplarpitch/replica/load_digest_writer.h"
#include "poplarpitch/replica/member_planner.h"
#include "poplarpitch/replica/node_phase.h"
#include "poplarpitch/replica/peer_mesh.h"
#include "poplarpitch/replica/replica_settings.h"
#include "poplarpitch/replica/seed_bootstrap.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/raft_storage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
class frame_socket;
class memory_budget;

/// Result of a proposal.
enum class proposal_result : std::uint8_t {
    applied, ///< committed, and applied on this instance
    refused, ///< this instance does not lead; the proposal is not in the log
    unknown, ///< leadership was lost first; the proposal may still be committed
};

/// Callbacks of the state machine on top of the replicated log.
struct replica_handler {
    /// Applies a committed command. Called on every instance, in log order.
    std::function<void(const log_entry&)> on_command;
    /// Returns the whole state, serialized for a snapshot.
    std::function<std::string()> on_save;
    /// Replaces the whole state by that of a snapshot.
    std::function<void(const std::string&)> on_load;
    /// Called when this instance leads and has applied everything committed before its term.
    std::function<void(log_term)> on_leading;
    /// Called when this instance no longer leads.
    std::function<void()> on_leading_lost;
    /// Called with a frame of another process that is not for the log. The second argument sends a frame back
    /// on the same connection.
    std::function<void(const job_wire::cluster_frame&,
                       const std::function<void(const job_wire::cluster_frame&)>&)>
        on_frame;
    /// Returns the leader's figures for the load digest in its status. Called only while this instance leads.
    /// Without it, the status has no digest.
    std::function<leader_figures()> get_figures;
    /// Adds to a status what the state machine tells other processes. May be empty.
    std::function<void(job_wire::cluster_status&)> add_to_status;
    std::uint32_t command_format = 0; ///< of the newest commands that the state machine knows
};

/// A control instance's replica of the log, on an event loop: raft node, storage, peers, bootstrap and
/// membership.
///
/// Each iteration of the loop handles everything that arrived, steps the raft node, syncs once, then sends
/// messages and applies entries. A separate thread waits for the disk, so that the loop can serve workers and
/// callers in the meantime. The raft node does not run during a sync: input for it is deferred until the sync
/// has ended. So nothing that depends on the sync is sent before it is on disk. An instance whose disk stalls
/// sends no messages, and another instance takes over.
///
/// A full disk is treated like one that stalls: the write is repeated until it succeeds, while the instance
/// relays orders and answers whatever needs no disk. Nothing of a write that found no space is on disk, so it
/// can be repeated. Any other failed write or sync ends the process: the state of the disk is unknown, and
/// callers can retry requests that got no answer. Thread safety: the loop's thread, for all methods.
class replica {
public:
    /// What is held for unknown peers counts against `budget`. Precondition: `loop` and `budget` outlive the
    /// replica.
    replica(event_loop& loop, memory_budget& budget, const replica_settings& settings,
            replica_handler handler);
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Opens the data folder and the port, then starts to bootstrap a cluster, to join one, or to run as a
    /// member.
    result<void> start();
    /// Commits a command. `on_result` is called once, in a later iteration or before this returns.
    void propose(std::string payload, std::function<void(proposal_result)> on_result);
    /// Linearizable read: calls `on_ready(true)` once everything committed before the call is applied here
    /// and this instance has led until then. Calls `on_ready(false)` when that cannot be confirmed.
    void read(std::function<void(bool)> on_ready);
    /// Transfers leadership to another instance if this one leads.
    void resign();

    /// Sends a frame to the instance at `ip`; it may be lost in transit. Returns false when it was not sent.
    bool send_frame(std::uint32_t ip, const job_wire::cluster_frame& frame);
    /// Returns the addresses of all other instances, in host order: the members, and while this instance
    /// leads also those that request to join. With more instances than the log needs voters, those stay
    /// candidates.
    [[nodiscard]] std::set<std::uint32_t> get_other_instances() const;

    /// Returns true when every member of the log has told, in a raft message to this instance, that it knows
    /// commands of this format.
    [[nodiscard]] bool do_all_members_know(std::uint32_t command_format) const;
    /// Returns true while this instance leads, no other can have been elected, and its disk has room.
    [[nodiscard]] bool has_lease() const;
    /// Returns true when this instance leads and has applied everything committed before its term.
    [[nodiscard]] bool is_leading() const { return m_is_leading; }
    /// Returns the address of the leader's instance, in host order; 0 while none is known.
    [[nodiscard]] std::uint32_t get_leader_ip() const;
    /// Returns true while the disk is full. The instance does not take part in the log then.
    [[nodiscard]] bool is_storage_full() const { return m_full_since.has_value(); }
    [[nodiscard]] node_id get_id() const { return m_id; }
    [[nodiscard]] std::size_t get_voter_count() const;
    /// Returns the number of status requests of other processes since the start.
    [[nodiscard]] std::uint64_t get_status_requests() const { return m_status_requests; }
    /// Returns the number of connections that other processes have opened to the link port.
    [[nodiscard]] std::size_t count_link_connections() const { return m_acceptor.count(); }

    /// Returns how many of them were closed to make room for others.
    [[nodiscard]] std::uint64_t get_closed_link_connections() const {
        return m_acceptor.get_closed_for_room();
    }

private:
    struct pending_proposal {
        log_term term = 0;
        std::function<void(proposal_result)> on_result;
    };

    /// Logs the state found on disk.
    void log_stored_state() const;
    void start_node(const raft_membership& initial);
    /// Runs periodically: bootstraps the cluster or joins it, as far as is possible yet.
    void bootstrap_or_join();
    /// Makes this instance a founding member, or one that joins. Returns false while the disk is full; it is
    /// then tried again.
    bool write_initial_members(const raft_membership& members);
    /// Requests the statuses of other instances while no leader is known.
    void request_statuses();
    void ask_to_join();
    void on_frame(std::uint32_t ip, const job_wire::cluster_frame& frame,
                  const std::function<void(const job_wire::cluster_frame&)>& reply);
    void on_status(std::uint32_t ip, const job_wire::cluster_status& status);
    void note_data_centre(std::uint32_t ip, const std::string& name);
    [[nodiscard]] job_wire::cluster_status make_status();
    /// Returns a frame with the status, which answers the request with this number; 0 for none.
    [[nodiscard]] job_wire::cluster_frame make_status_frame(std::uint64_t number);
    void on_accepted_frame(const std::shared_ptr<frame_socket>& socket, const job_wire::cluster_frame& frame);
    /// Sends the status to all who want to know of changes, when this instance knows another leader than at
    /// the last call that sent it.
    void report_leader_change();
    void run_iteration();
    void save_output();
    /// Writes and syncs `m_output` on the other thread.
    void start_sync();
    void on_sync_ended();
    /// Returns true from the start of a sync until everything in it is on disk, which a full disk delays.
    [[nodiscard]] bool is_saving() const { return m_sync_task.is_running() || is_storage_full(); }
    /// Records that a write found no space. Returns true when `error` says so.
    bool note_storage_full(const std::error_code& error);
    void note_storage_writable();
    void finish_output();
    void send(const raft_message& message);
    void take_message(const wire::raft_message& message);
    /// Calls `work` now, or after the save in progress.
    void run_after_sync(std::function<void()> work);
    void run_deferred();
    void apply(const log_entry& entry);
    /// Calls the handler when leadership was gained or lost.
    void update_role();
    void fail_pending_proposals();
    void fail_pending_reads();
    /// Proposes the next membership step while this instance leads.
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
    raft_output m_output; ///< being processed; owned by the thread of the sync while `m_sync_task` runs
    /// Result of the last sync. Owned by the thread of the sync while `m_sync_task` runs.
    result<void> m_save_result = boost::outcome_v2::success();
    std::vector<std::function<void()>>
        m_deferred;                      ///< input for the raft node, deferred while `m_sync_task` runs
    std::size_t m_deferred_messages = 0; ///< number of messages of other nodes in `m_deferred`
    hard_state m_hard_state;
    raft_membership m_applied_members;
    log_index m_applied = 0;
    std::uint64_t m_bytes_at_snapshot = 0;  ///< bytes written by the time of the last snapshot
    time_point m_next_snapshot{};           ///< after one that found no space
    std::optional<time_point> m_full_since; ///< set while the disk is full
    member_planner m_planner;
    load_digest_writer m_digest_writer;
    std::unique_ptr<peer_mesh> m_mesh;
    link_acceptor m_acceptor;
    std::uint64_t m_status_requests = 0;
    node_id m_reported_leader_change = 0; ///< the leader in the last report of a change
    std::map<log_index, pending_proposal> m_proposals;
    std::map<std::uint64_t, std::function<void(bool)>> m_reads;
    std::map<std::uint32_t, seed_status> m_peer_statuses; ///< other instances, by address
    std::map<node_id, std::uint32_t> m_command_formats;   ///< newest known to other members
    std::map<std::uint32_t, std::string> m_data_centres;  ///< of instances, by address
    std::set<std::uint32_t> m_known_addresses;            ///< addresses of all known control instances
    std::uint32_t m_reported_leader = 0; ///< last instance that reported to lead; used while not a member
    time_point m_leader_reported_at{};
    raft_role m_last_role = raft_role::follower;
    log_term m_last_term = 0;
    bool m_is_leading = false;
    time_point m_leading_since{};
    time_point m_next_member_check{};
    std::uint64_t m_tick_timer = 0;
    time_point m_tick_at{};
    background_task m_sync_task; ///< last member: its work ends before the others are destroyed
};

} // namespace poplarpitch
