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

/// A control instance's parts on one thread: log, storage, replicated state and the leader's duties. Each
/// turn takes all that arrived, steps the log, syncs once, then sends, applies and answers. A failed write or
/// sync ends the process: the state of the disk is not known any more, and an answer that was not given can
/// be asked for again.
class control_node {
public:
    control_node(const daemon_settings& daemon, const control_settings& settings);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /// Opens the data folder. Thread safety: none; called before `run`.
    result<void> open();
    /// Returns where `open` found an error: file and offset.
    [[nodiscard]] const std::string& get_error_place() const { return m_storage.get_error_place(); }
    /// Returns true while the folder is blank and no cluster is known. Thread safety: as `open`.
    [[nodiscard]] bool is_blank() const { return m_stored.is_blank; }
    /// Founds the cluster with these members, or joins one as a spare when they are empty. Thread safety: as
    /// `open`.
    result<void> bootstrap(const raft_membership& members);

    /// Runs until `stop`. Thread safety: one thread, the control thread.
    void run();
    /// Ends `run`. Thread safety: any thread.
    void stop() { m_task_queue.stop(); }

    /// Takes a message of a peer. Thread safety: any thread.
    void deliver(raft_message message);
    /// Answers a renewal. Waits. Thread safety: any thread but the control thread, as for all below.
    wire::renew_answer renew(const wire::renew_request& request);
    /// Commits a command. Waits.
    wire::propose_answer propose(const wire::propose_request& request);
    /// Commits commands that need no order among them. Waits for all.
    wire::propose_batch_answer propose_batch(const wire::propose_batch_request& request);
    /// Answers a query, linearizable unless it allows a stale answer. Waits.
    wire::query_answer query(const wire::query_request& request);
    /// Changes the membership. Waits until it is in the log, not until it is committed.
    wire::member_answer change_members(const wire::member_request& request);
    /// Hands leadership on if this node leads; returns when it no longer does, at the latest after a second.
    void resign();

private:
    struct pending_query {
        wire::query_request request;
        std::function<void(const wire::query_answer&)> answer;
    };

    // control thread
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

    /// Posts work that gets a callback, and waits for what the callback is given.
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
    bool m_are_duties_started = false; ///< the duties of this term of leadership have begun
    log_index m_last_duty_index = 0;   ///< last command of the duties; the next turn waits for it
    time_point m_next_duty{};
};

} // namespace poplarpitch
