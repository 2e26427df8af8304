#pragma once

#include "poplarpitch/config/daemon_settings.h"
#include "poplarpitch/consensus/raft_node.h"
#include "poplarpitch/control/control_settings.h"
#include "poplarpitch/control/control_task_queue.h"
#include "poplarpitch/control/leader_duties.h"
#include "poplarpitch/control/proposal_queue.h"
#include "poplarpitch/control/voter_replacer.h"
#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/state/state_machine.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/raft_storage.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace poplarpitch {

class peer_link;

/// Runs the parts of a control instance on one thread: replicated log, storage, replicated state and the
/// leader's duties. Each iteration runs all queued tasks, steps the log and syncs once. It then sends
/// messages, applies committed entries and answers calls. A failed write or sync ends the process, because
/// the state of the disk is then unknown. Callers may retry calls that were not answered.
class control_node {
public:
    control_node(const daemon_settings& daemon, const control_settings& settings);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /// Opens the data folder. Thread safety: none; called before `run`.
    result<void> open();
    /// Returns where storage found an error: file and offset.
    [[nodiscard]] const std::string& get_error_location() const { return m_storage.get_error_location(); }
    /// Returns true while the data folder is blank: this instance neither created nor joined a cluster.
    /// Thread safety: as `open`.
    [[nodiscard]] bool is_blank() const { return m_stored.is_empty; }
    /// Writes the initial membership. With empty `members` the instance joins a cluster as a standby. Thread
    /// safety: as `open`.
    result<void> bootstrap(const raft_membership& members);

    /// Runs until `stop`. The calling thread becomes the control thread. Thread safety: called on one thread.
    void run();
    /// Ends `run`. Thread safety: any thread.
    void stop() { m_task_queue.stop(); }

    /// Queues a message of a peer for the log. Thread safety: any thread.
    void deliver(raft_message message);
    /// Opens or renews an entry's session. Blocks until the answer is known. Thread safety: any thread but
    /// the control thread, as for all methods below.
    wire::renew_answer renew(const wire::renew_request& request);
    /// Commits a command. Blocks until the outcome is known.
    wire::propose_answer propose(const wire::propose_request& request);
    /// Commits commands whose order does not matter. Blocks until the outcome of all is known.
    wire::propose_batch_answer propose_batch(const wire::propose_batch_request& request);
    /// Answers a query, linearizable unless the request allows a stale answer. Blocks.
    wire::query_answer query(const wire::query_request& request);
    /// Changes the membership. Blocks until the change is appended to the log, not until it is committed.
    wire::member_answer change_members(const wire::member_request& request);
    /// Transfers leadership if this node leads and is not the only voter. Returns once it no longer leads, or
    /// after 20 attempts 50 ms apart (a second).
    void resign();

private:
    struct pending_query {
        wire::query_request request;
        std::function<void(const wire::query_answer&)> answer;
    };

    // Called on the control thread.
    void process_output(raft_output output);
    void apply(const log_entry& entry);
    void install(const raft_snapshot& snapshot);
    void send(raft_message message);
    void reset_silent_links(time_point now);
    void handle_role_change(time_point now);
    void run_duties(time_point now);
    void take_snapshot_if_due();
    [[nodiscard]] time_point get_next_wakeup() const;
    void start_renewal(const wire::renew_request& request,
                       const std::function<void(const wire::renew_answer&)>& answer);
    void start_query(const wire::query_request& request,
                     std::function<void(const wire::query_answer&)> answer);
    wire::member_answer start_member_change(const wire::member_request& request);
    wire::query_answer make_answer(const wire::query_request& request) const;
    [[noreturn]] void end_process(const std::error_code& error);

    /// Runs `work` on the control thread and waits for the answer that `work` passes to its callback.
    template <class Answer>
    Answer call_on_control_thread(std::function<void(std::function<void(const Answer&)>)> work);

    const daemon_settings m_daemon;
    const control_settings m_settings;
    const system_clock m_clock{};
    control_task_queue m_task_queue;
    posix_file_system m_files;
    raft_storage<posix_file_system> m_storage;
    stored_state m_stored;
    std::unique_ptr<raft_node> m_node;
    hard_state m_hard_state;
    state_machine m_machine;
    raft_membership m_applied_members; ///< membership as of the last applied entry
    leader_duties m_duties;
    voter_replacer m_voter_replacer;
    std::map<node_id, std::unique_ptr<peer_link>> m_links;
    std::map<node_id, time_point> m_last_received;
    proposal_queue m_proposals;
    std::map<std::uint64_t, pending_query> m_queries; ///< by read token
    raft_role m_last_role = raft_role::follower;
    log_term m_last_term = 0;
    bool m_are_duties_started = false; ///< in this term of leadership
    log_index m_last_duty_index = 0; ///< last command that the duties proposed; they wait until it is applied
    time_point m_next_duty{};
};

} // namespace poplarpitch
