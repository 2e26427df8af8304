#include "poplarpitch/transport/control_client.h"

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/transport/channel_factory.h"
#include "poplarpitch/transport/transport_error.h"
#include "poplarpitch/wire/poplarpitch.grpc.pb.h"

#include <absl/time/clock.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration retry_interval = milliseconds{40};
constexpr duration call_attempt_timeout =
    milliseconds{700}; // then retries at another instance on a fresh connection
constexpr duration renew_attempt_timeout = milliseconds{400};

using control_stub = wire::control_service::Stub;

/// Return true when the answer comes from the leader. Each kind of answer shows that in fields of its own.
bool is_from_leader(const wire::propose_answer& answer) {
    return answer.committed() || answer.unknown();
}
bool is_from_leader(const wire::propose_batch_answer& answer) {
    const auto is_settled = [](const wire::propose_answer& command_answer) {
        return is_from_leader(command_answer);
    };
    return !answer.answers().empty() &&
           std::all_of(answer.answers().begin(), answer.answers().end(), is_settled);
}
bool is_from_leader(const wire::renew_answer& answer) {
    return answer.accepted() || !answer.refusal().empty();
}
bool is_from_leader(const wire::query_answer& answer) {
    return answer.answered();
}
bool is_from_leader(const wire::member_answer& answer) {
    return answer.done() || !answer.refusal().empty();
}

/// Waits until the channel is connected. Returns false when there is no connection: a call would certainly
/// not be sent.
bool connect(grpc::Channel& channel, std::chrono::system_clock::time_point deadline) {
    auto state = channel.GetState(true);
    while (state == GRPC_CHANNEL_IDLE || state == GRPC_CHANNEL_CONNECTING) {
        if (!channel.WaitForStateChange(state, deadline)) {
            return false;
        }
        state = channel.GetState(true);
    }
    return state == GRPC_CHANNEL_READY;
}

} // namespace

struct control_client::link {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<control_stub> stub;
};

control_client::control_client(std::vector<peer_address> peers) : m_peers(std::move(peers)) {
    const absl::MutexLock lock(&m_mutex);
    m_links.resize(m_peers.size());
}

control_client::~control_client() = default;

std::shared_ptr<control_client::link> control_client::get_link(std::size_t index) {
    const absl::MutexLock lock(&m_mutex);
    auto& slot = m_links[index];
    if (slot == nullptr) {
        slot = std::make_shared<link>();
        slot->channel = make_fresh_channel(m_peers[index].address);
        slot->stub = wire::control_service::NewStub(slot->channel);
    }
    return slot;
}

void control_client::drop_link(std::size_t index, const std::shared_ptr<link>& failed_link) {
    const absl::MutexLock lock(&m_mutex);
    if (m_links[index] == failed_link) {
        m_links[index] = nullptr;
    }
}

std::size_t control_client::get_leader_index() {
    const absl::MutexLock lock(&m_mutex);
    return m_leader_index;
}

void control_client::update_leader(std::size_t queried, std::uint64_t leader) {
    const auto found = std::find_if(m_peers.begin(), m_peers.end(),
                                    [&](const peer_address& peer) { return peer.id == leader; });
    const absl::MutexLock lock(&m_mutex);
    if (found != m_peers.end()) {
        m_leader_index = static_cast<std::size_t>(found - m_peers.begin());
    } else if (m_leader_index == queried) {
        m_leader_index = (queried + 1) % m_peers.size();
    }
}

template <class Request, class Answer, class Call>
result<Answer> control_client::call_leader(const Request& request, time_point deadline,
                                           duration attempt_timeout, Call call) {
    const system_clock clock;
    bool is_maybe_executed = false;
    bool is_any_reached = false;
    for (auto now = clock.now(); now < deadline; now = clock.now()) {
        const auto index = get_leader_index();
        const auto used_link = get_link(index);
        const auto limit =
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<milliseconds>(std::min<duration>(deadline - now, attempt_timeout));
        grpc::ClientContext context;
        context.set_deadline(limit);
        Answer answer;
        const bool is_connected = connect(*used_link->channel, limit);
        const auto status = is_connected ? call(*used_link->stub, context, request, answer)
                                         : grpc::Status(grpc::StatusCode::UNAVAILABLE, "no connection");
        if (status.ok()) {
            is_any_reached = true;
            if (is_from_leader(answer)) {
                return answer;
            }
            update_leader(index, answer.leader());
            if (answer.leader() == 0 || answer.leader() == m_peers[index].id) {
                absl::SleepFor(absl::Nanoseconds(retry_interval.count()));
            }
            continue;
        }
        // The connection may be dead without an error, so the next attempt opens a fresh one in any case.
        is_maybe_executed = is_maybe_executed || is_connected;
        drop_link(index, used_link);
        update_leader(index, 0);
        absl::SleepFor(absl::Nanoseconds(retry_interval.count()));
    }
    if (is_maybe_executed) {
        return make_error_code(transport_errc::timed_out);
    }
    return make_error_code(is_any_reached ? transport_errc::no_leader : transport_errc::unreachable);
}

result<wire::command_result> control_client::propose(const wire::command& command, time_point deadline) {
    wire::propose_request request;
    *request.mutable_proposed() = command;
    const auto call = [](control_stub& stub, grpc::ClientContext& context, const wire::propose_request& sent,
                         wire::propose_answer& received) {
        return stub.propose(&context, sent, &received);
    };
    const system_clock clock;
    bool is_maybe_committed = false;
    while (true) {
        auto answer = call_leader<wire::propose_request, wire::propose_answer>(request, deadline,
                                                                               call_attempt_timeout, call);
        if (!answer) {
            return is_maybe_committed ? make_error_code(transport_errc::timed_out) : answer.error();
        }
        if (answer.value().committed()) {
            return std::move(*answer.value().mutable_outcome());
        }
        // The instance lost its leadership with the command in its log. A retry finds out whether it
        // committed.
        is_maybe_committed = true;
        if (clock.now() >= deadline) {
            return make_error_code(transport_errc::timed_out);
        }
        absl::SleepFor(absl::Nanoseconds(retry_interval.count()));
    }
}

result<std::vector<wire::command_result>>
control_client::propose_batch(const std::vector<wire::command>& commands, time_point deadline) {
    wire::propose_batch_request request;
    request.mutable_commands()->Add(commands.begin(), commands.end());
    auto answer = call_leader<wire::propose_batch_request, wire::propose_batch_answer>(
        request, deadline, call_attempt_timeout,
        [](control_stub& stub, grpc::ClientContext& context, const wire::propose_batch_request& sent,
           wire::propose_batch_answer& received) { return stub.propose_batch(&context, sent, &received); });
    if (!answer) {
        return answer.error();
    }
    std::vector<wire::command_result> outcomes;
    outcomes.reserve(commands.size());
    for (auto& command_answer : *answer.value().mutable_answers()) {
        if (!command_answer.committed()) {
            return make_error_code(transport_errc::timed_out); // leadership was lost: the outcome is unknown
        }
        outcomes.push_back(std::move(*command_answer.mutable_outcome()));
    }
    return outcomes;
}

result<wire::renew_answer> control_client::renew(const wire::renew_request& request, time_point deadline) {
    return call_leader<wire::renew_request, wire::renew_answer>(
        request, deadline, renew_attempt_timeout,
        [](control_stub& stub, grpc::ClientContext& context, const wire::renew_request& sent,
           wire::renew_answer& received) { return stub.renew(&context, sent, &received); });
}

result<wire::query_answer> control_client::query(const wire::query_request& request, time_point deadline) {
    return call_leader<wire::query_request, wire::query_answer>(
        request, deadline, call_attempt_timeout,
        [](control_stub& stub, grpc::ClientContext& context, const wire::query_request& sent,
           wire::query_answer& received) { return stub.query(&context, sent, &received); });
}

result<wire::member_answer> control_client::change_members(const wire::member_request& request,
                                                           time_point deadline) {
    return call_leader<wire::member_request, wire::member_answer>(
        request, deadline, call_attempt_timeout,
        [](control_stub& stub, grpc::ClientContext& context, const wire::member_request& sent,
           wire::member_answer& received) { return stub.change_members(&context, sent, &received); });
}

result<wire::query_answer> control_client::query_node(std::uint64_t node, const wire::query_request& request,
                                                      time_point deadline) {
    const auto found = std::find_if(m_peers.begin(), m_peers.end(),
                                    [&](const peer_address& peer) { return peer.id == node; });
    if (found == m_peers.end()) {
        return make_error_code(transport_errc::unreachable);
    }
    const auto index = static_cast<std::size_t>(found - m_peers.begin());
    const auto used_link = get_link(index);
    const system_clock clock;
    const auto limit = std::chrono::duration_cast<milliseconds>(deadline - clock.now());
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + limit);
    wire::query_answer answer;
    if (!used_link->stub->query(&context, request, &answer).ok()) {
        drop_link(index, used_link);
        return make_error_code(transport_errc::unreachable);
    }
    return answer;
}

} // namespace poplarpitch
