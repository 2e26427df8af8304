#pragma once

#include "poplarpitch/config/peer_address.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {

/// Asks the control instances on behalf of an entry or a tool. It follows the leader, and goes round the
/// instances when none is known. A call without an answer drops its connection, so the next one opens a fresh
/// connection. Calls may reach the leader twice; every command is a compare-and-set or names its record, so
/// that does no harm. Thread safety: any thread, for all methods.
class control_client {
public:
    /// Precondition: `peers` is not empty.
    explicit control_client(std::vector<peer_address> peers);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    /// Commits a command and returns what it did. `timed_out` says that it may yet be committed.
    result<wire::command_result> propose(const wire::command& command, time_point deadline);
    /// Commits commands with one call; they need no order among them. Returns what each did, in order. An
    /// error says that any of them may yet be committed.
    result<std::vector<wire::command_result>> propose_batch(const std::vector<wire::command>& commands,
                                                            time_point deadline);
    /// Renews a session. Tries once with a short deadline at the leader, so that the caller keeps its rhythm.
    result<wire::renew_answer> renew(const wire::renew_request& request, time_point deadline);
    /// Reads, linearizable unless the request allows a stale answer.
    result<wire::query_answer> query(const wire::query_request& request, time_point deadline);
    /// Changes the membership of the control instances. `refused` leaves the reason in `answer`.
    result<wire::member_answer> change_members(const wire::member_request& request, time_point deadline);
    /// Asks one instance, leader or not. Used while a cluster forms.
    result<wire::query_answer> query_node(std::uint64_t node, const wire::query_request& request,
                                          time_point deadline);

private:
    struct link;

    std::shared_ptr<link> get_link(std::size_t index);
    void drop_link(std::size_t index, const std::shared_ptr<link>& used);
    std::size_t get_leader_index();
    /// Learns from a refusal where the leader is; goes on to the next instance when it names none.
    void update_leader(std::size_t queried, std::uint64_t leader);

    template <class Request, class Answer, class Call>
    result<Answer> call_leader(const Request& request, time_point deadline, duration attempt_timeout,
                               Call call);

    const std::vector<peer_address> m_peers;
    absl::Mutex m_mutex;
    std::vector<std::shared_ptr<link>> m_links ABSL_GUARDED_BY(m_mutex);
    std::size_t m_leader_index ABSL_GUARDED_BY(m_mutex) = 0; ///< index of the instance to ask first
};

} // namespace poplarpitch
