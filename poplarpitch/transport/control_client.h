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

/// Client of the control instances for entries and tools. It sends calls to the leader and tries the
/// instances in turn when the leader is unknown. A call without an answer closes its connection, and the next
/// call opens a fresh one. Retries may execute a command twice. That is safe, because every command is a
/// compare-and-set or names its record. Thread safety: any thread, for all methods.
class control_client {
public:
    /// Precondition: `peers` is not empty.
    explicit control_client(std::vector<peer_address> peers);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    /// Commits a command and returns its result. With the error `timed_out` it may still be committed.
    result<wire::command_result> propose(const wire::command& command, time_point deadline);
    /// Commits commands whose order does not matter in one call. Returns the result of each, in their order.
    /// With an error any of them may still be committed.
    result<std::vector<wire::command_result>> propose_batch(const std::vector<wire::command>& commands,
                                                            time_point deadline);
    /// Renews a session. Each attempt at the leader has a short timeout, so that the caller keeps its
    /// interval.
    result<wire::renew_answer> renew(const wire::renew_request& request, time_point deadline);
    /// Answers a query, linearizable unless the request allows a stale answer.
    result<wire::query_answer> query(const wire::query_request& request, time_point deadline);
    /// Changes the membership of the control instances. A refusal is no error: the answer has its reason.
    result<wire::member_answer> change_members(const wire::member_request& request, time_point deadline);
    /// Queries one instance, leader or not. Used while the cluster is created.
    result<wire::query_answer> query_node(std::uint64_t node, const wire::query_request& request,
                                          time_point deadline);

private:
    struct link;

    std::shared_ptr<link> get_link(std::size_t index);
    void drop_link(std::size_t index, const std::shared_ptr<link>& failed_link);
    std::size_t get_leader_index();
    /// Sets the instance to call next to the leader that the queried instance named, or to the instance after
    /// it when it named none.
    void update_leader(std::size_t queried, std::uint64_t leader);

    template <class Request, class Answer, class Call>
    result<Answer> call_leader(const Request& request, time_point deadline, duration attempt_timeout,
                               Call call);

    const std::vector<peer_address> m_peers;
    absl::Mutex m_mutex;
    std::vector<std::shared_ptr<link>> m_links ABSL_GUARDED_BY(m_mutex);
    std::size_t m_leader_index ABSL_GUARDED_BY(m_mutex) = 0; ///< index of the instance to call first
};

} // namespace poplarpitch
