#include "poplarpitch/gateway/leader_link.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/replica/node_address.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {
namespace {

constexpr duration search_interval = milliseconds{100}; // while requests may wait for a leader
constexpr duration watch_interval = milliseconds{350};  // of a leader; a third of what is borne as silence
constexpr duration silence_limit = milliseconds{1000};  // then the connection or the leader is given up
constexpr duration proof_life = milliseconds{50};       // of a sign of life; asking anew takes 1 to 3 ms
// An outage lasts on about as long as it has lasted; a caller has four tries, which so cover some 15 s.
constexpr duration shortest_retry = seconds{1}; // an election takes less
constexpr duration longest_retry = seconds{5};
constexpr duration connect_timeout = milliseconds{700};
constexpr int first_refusal = 400; // among HTTP statuses

const char* get_outcome_name(relay_outcome::kind what) {
    switch (what) {
    case relay_outcome::kind::answered:
        return "answered";
    case relay_outcome::kind::never_sent:
        return "never_sent";
    case relay_outcome::kind::not_read:
        return "not_read";
    case relay_outcome::kind::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

struct leader_link::pending_request {
    std::uint64_t number = 0;
    std::unique_ptr<job_wire::relay_request> request;
    outcome_handler on_outcome;
    time_point deadline{};
    std::uint64_t timer = 0;
    std::vector<std::uint32_t> copies; ///< the leaders it was sent to, one for each time
    std::uint32_t sent_to = 0;         ///< the leader that owes the answer; 0 for none

    [[nodiscard]] bool was_sent() const { return !copies.empty(); }
    /// Returns true where a refusal by `leader` says nothing of another copy, which may yet come to it over a
    /// connection that was given up. A copy at an earlier leader can be accepted no more.
    [[nodiscard]] bool has_copy_beside(std::uint32_t leader) const {
        return !changes_nothing() && std::count(copies.begin(), copies.end(), leader) > 1;
    }

    [[nodiscard]] bool changes_nothing() const { return request->method() == "GET"; }
    /// Returns true while waiting on is better than an answer now: for a change that may have been done only
    /// the next leader can tell, for a question only one that has it.
    [[nodiscard]] bool may_wait() const { return changes_nothing() ? sent_to != 0 : was_sent(); }
};

leader_link::leader_link(event_loop& loop, const std::vector<std::string>& seeds, int port,
                         duration leader_wait)
    : m_loop(loop), m_port(port), m_leader_wait(leader_wait), m_is_alive(std::make_shared<bool>(true)) {
    for (const auto& seed : seeds) {
        if (const auto ip = read_ip(seed); ip.has_value()) {
            m_known.insert(*ip);
        }
    }
}

leader_link::~leader_link() {
    *m_is_alive = false;
    for (const auto& [ip, socket] : m_sockets) {
        socket->close();
    }
}

void leader_link::start() {
    m_lost_at = m_loop.now();
    look();
}

void leader_link::look() {
    const auto now = m_loop.now();
    if (m_leader != 0 && now - m_leader_heard > silence_limit) {
        lose_leader("silent");
    }
    if (m_leader != 0) {
        ask(m_leader);
    } else {
        for (const auto ip : m_known) {
            ask(ip);
        }
    }
    m_loop.call_after(m_leader != 0 ? watch_interval : search_interval, [this, alive = m_is_alive] {
        if (*alive) {
            look();
        }
    });
}

void leader_link::ask(std::uint32_t ip) {
    const auto found = m_sockets.find(ip);
    if (found == m_sockets.end()) {
        connect(ip);
        return;
    }
    const auto asked = m_asked.try_emplace(ip, m_loop.now()).first->second;
    if (m_loop.now() - asked > silence_limit) { // the path may have gone silent: a fresh connection tells
        found->second->close();
        m_sockets.erase(found);
        m_asked.erase(ip);
        connect(ip);
        return;
    }
    job_wire::cluster_frame frame;
    frame.mutable_ask_status();
    found->second->send(frame.SerializeAsString());
}

void leader_link::connect(std::uint32_t ip) {
    if (!m_connecting.insert(ip).second) {
        return;
    }
    const auto address = format_address({ip, static_cast<std::uint16_t>(m_port)});
    connect_frames(m_loop, address, connect_timeout,
                   [this, ip, alive = m_is_alive](const std::shared_ptr<frame_socket>& socket) {
                       if (!*alive) {
                           return;
                       }
                       m_connecting.erase(ip);
                       if (socket == nullptr) {
                           return;
                       }
                       m_sockets[ip] = socket;
                       m_asked.erase(ip);
                       socket->start([this, ip](const std::string& bytes) { on_frame(ip, bytes); },
                                     [this, ip] {
                                         m_sockets.erase(ip);
                                         m_asked.erase(ip);
                                         if (ip == m_leader) {
                                             lose_leader("connection_ended");
                                         }
                                     });
                       ask(ip);
                   });
}

void leader_link::on_frame(std::uint32_t ip, const std::string& bytes) {
    job_wire::cluster_frame frame;
    if (!frame.ParseFromString(bytes)) {
        log_event(log_level::warn, "frame_unreadable").add("from", format_ip(ip));
        return;
    }
    m_asked.erase(ip);
    if (ip == m_leader) {
        m_leader_heard = m_loop.now();
        if (std::exchange(m_is_holding, false)) {
            send_pending();
        }
    }
    if (frame.has_status()) {
        on_status(ip, frame.status().status());
    } else if (frame.has_answer()) {
        on_answer(ip, frame.answer());
    }
}

void leader_link::on_status(std::uint32_t ip, const job_wire::cluster_status& status) {
    for (const auto member : status.members().voters()) {
        m_known.insert(get_node_ip(member));
    }
    if (!status.leads()) {
        if (ip == m_leader) {
            lose_leader("leads_no_longer");
        }
        return;
    }
    m_leader_heard = m_loop.now();
    if (ip == m_leader) {
        return;
    }
    log_event(log_level::info, "leader_found")
        .add("leader", format_ip(ip))
        .add("waiting", static_cast<std::uint64_t>(m_pending.size()));
    m_leader = ip;
    for (auto item = m_sockets.begin(); item != m_sockets.end();) {
        if (item->first == ip) {
            ++item;
            continue;
        }
        item->second->close();
        m_asked.erase(item->first);
        item = m_sockets.erase(item);
    }
    send_pending();
}

void leader_link::lose_leader(const char* reason) {
    log_event(log_level::warn, "leader_lost")
        .add("leader", format_ip(m_leader))
        .add("reason", reason)
        .add("open", static_cast<std::uint64_t>(m_pending.size()));
    const auto found = m_sockets.find(m_leader);
    if (found != m_sockets.end() && std::string_view(reason) == "silent") {
        found->second->close();
        m_sockets.erase(found);
        m_asked.erase(m_leader);
    }
    m_leader = 0;
    m_lost_at = m_loop.now();
    m_is_holding = false; // all go to the next leader
    for (auto& [number, item] : m_pending) {
        item->sent_to = 0;
    }
}

bool leader_link::is_connected() const {
    return m_leader != 0 && m_loop.now() - m_leader_heard <= silence_limit;
}

// ---- requests

void leader_link::relay(job_wire::relay_request request, time_point deadline, outcome_handler on_outcome) {
    auto item = std::make_unique<pending_request>();
    const auto number = m_next_number++;
    item->number = number;
    request.set_number(number);
    item->request = std::make_unique<job_wire::relay_request>(std::move(request));
    item->on_outcome = std::move(on_outcome);
    item->deadline = deadline;
    item->timer = m_loop.call_at(std::min(deadline, get_wait_end()), [this, number] { expire(number); });
    auto& stored = *m_pending.emplace(number, std::move(item)).first->second;
    if (!is_connected()) {
        return;
    }
    if (stored.changes_nothing() || m_loop.now() - m_leader_heard <= proof_life) {
        send(stored);
        return;
    }
    m_is_holding = true;
    ask(m_leader);
}

/// Load pattern: all control instances lose power for 5 to 10 s. An election takes up to 1.2 s, so what comes
/// while one may be going on waits for its end; what comes later is sent away at once, since nothing says
/// that the next second brings what the last ones did not.
time_point leader_link::get_wait_end() const {
    const auto now = m_loop.now();
    return m_leader != 0 ? now + m_leader_wait : std::max(now, m_lost_at + m_leader_wait);
}

duration leader_link::get_retry_after() const {
    const bool was_heard = m_leader_heard != time_point{};
    return was_heard ? std::clamp(m_loop.now() - m_leader_heard, shortest_retry, longest_retry)
                     : shortest_retry;
}

void leader_link::send(pending_request& item) {
    const auto found = m_sockets.find(m_leader);
    if (found == m_sockets.end()) {
        return;
    }
    item.copies.push_back(m_leader);
    item.sent_to = m_leader;
    job_wire::cluster_frame frame;
    *frame.mutable_request() = *item.request;
    found->second->send(frame.SerializeAsString());
}

void leader_link::send_pending() {
    for (auto& [number, item] : m_pending) {
        if (item->sent_to == 0) {
            send(*item);
        }
    }
}

void leader_link::on_answer(std::uint32_t ip, const job_wire::relay_answer& answer) {
    const auto found = m_pending.find(answer.number());
    if (found == m_pending.end()) {
        return; // given up
    }
    auto& item = *found->second;
    if (!answer.taken() || answer.status() == 0) {
        // Not taken, or its outcome is not known there: the next leader is asked again.
        item.sent_to = 0;
        if (m_leader != 0) {
            lose_leader(answer.taken() ? "outcome_unknown" : "leads_no_longer");
        }
        return;
    }
    relay_outcome outcome;
    outcome.status = static_cast<int>(answer.status());
    if (outcome.status >= first_refusal && item.has_copy_beside(ip)) {
        outcome.what = relay_outcome::kind::unknown;
        tell_given_up(item, outcome.what);
    }
    outcome.body = answer.body();
    outcome.retry_after = milliseconds{answer.retry_after_ms()};
    const auto done = std::move(found->second);
    m_pending.erase(found);
    m_loop.cancel(done->timer);
    done->on_outcome(outcome);
}

void leader_link::expire(std::uint64_t number) {
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return;
    }
    auto& item = *found->second;
    if (item.may_wait() && m_loop.now() < item.deadline) {
        const auto next = item.changes_nothing() ? m_loop.now() + m_leader_wait : item.deadline;
        item.timer = m_loop.call_at(std::min(item.deadline, next), [this, number] { expire(number); });
        return;
    }
    const auto done = std::move(found->second);
    m_pending.erase(found);
    relay_outcome outcome;
    outcome.what = judge(*done);
    outcome.retry_after = get_retry_after();
    tell_given_up(*done, outcome.what);
    done->on_outcome(outcome);
}

void leader_link::tell_given_up(const pending_request& item, relay_outcome::kind what) {
    log_event(log_level::warn, "request_given_up")
        .add("method", item.request->method())
        .add("target", item.request->target())
        .add("outcome", get_outcome_name(what))
        .add("copies", static_cast<std::uint64_t>(item.copies.size()));
}

relay_outcome::kind leader_link::judge(const pending_request& item) {
    if (!item.was_sent()) {
        return relay_outcome::kind::never_sent;
    }
    return item.changes_nothing() ? relay_outcome::kind::not_read : relay_outcome::kind::unknown;
}

} // namespace poplarpitch
