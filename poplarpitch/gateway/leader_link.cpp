#include "poplarpitch/gateway/leader_link.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/replica/node_address.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {
namespace {

constexpr duration leader_search_interval = milliseconds{100}; // while no leader is known
constexpr duration leader_poll_interval = milliseconds{350};   // about a third of silence_limit
constexpr duration silence_limit = milliseconds{1000}; // a connection or leader silent for longer is dropped
// A change is sent only to a leader heard from within this time; a new status request takes 1 to 3 ms.
constexpr duration leader_confirmation_validity = milliseconds{50};
// An outage is expected to continue for about as long as it has already lasted. A caller has four attempts,
// which then cover about 15 s.
constexpr duration min_retry_after = seconds{1}; // an election takes less time
constexpr duration max_retry_after = seconds{5};
constexpr duration connect_timeout = milliseconds{700};
constexpr std::int64_t max_leader_age_ms = 3'600'000; // an hour; no follower waits longer for an election
constexpr int first_error_status = 400;               // the lowest HTTP status that rejects a request

const char* get_outcome_name(relay_outcome::kind result) {
    switch (result) {
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
    time_point received_at{};
    time_point deadline{};
    std::uint64_t timer = 0;
    std::vector<std::uint32_t> recipients; ///< leaders it was sent to, one entry per send
    std::uint32_t sent_to = 0;             ///< leader whose answer is awaited; 0 for none

    [[nodiscard]] bool was_sent() const { return !recipients.empty(); }
    /// Returns true when `leader` was sent another copy of a change. That copy may still arrive over a
    /// connection that was dropped, so a rejection does not tell its outcome. A copy at an earlier leader can
    /// no longer be accepted.
    [[nodiscard]] bool has_another_copy_at(std::uint32_t leader) const {
        return !is_read_only() && std::count(recipients.begin(), recipients.end(), leader) > 1;
    }

    [[nodiscard]] bool is_read_only() const { return request->method() == "GET"; }
    /// Returns true while waiting is better than reporting an outcome now. Only the next leader can tell
    /// whether a change that was sent has been carried out; a read waits only for a leader that has received
    /// it.
    [[nodiscard]] bool should_keep_waiting() const { return is_read_only() ? sent_to != 0 : was_sent(); }
};

leader_link::leader_link(event_loop& loop, const std::vector<std::string>& seeds, int port,
                         duration leader_wait, bool spread_returns, std::uint64_t own_hash)
    : m_loop(loop), m_port(port), m_leader_wait(leader_wait), m_spread_returns(spread_returns),
      m_watch(own_hash), m_is_alive(std::make_shared<bool>(true)) {
    for (const auto& seed : seeds) {
        if (const auto ip = parse_ip(seed); ip.has_value()) {
            m_control_ips.insert(*ip);
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
    m_leader_lost_at = m_loop.now();
    poll_status();
}

void leader_link::poll_status() {
    const auto now = m_loop.now();
    if (m_leader != 0 && is_leader_silent(now)) {
        mark_leader_lost("silent");
    }
    const auto observer = m_watch.get_observer();
    if (observer != 0) {
        request_status(observer);
    }
    if (m_leader != 0 && m_watch.must_ask_leader(m_leader, now)) {
        request_status(m_leader);
    }
    if (m_leader == 0 && m_watch.must_ask_all(now - m_leader_lost_at)) {
        for (const auto ip : m_control_ips) {
            if (ip != observer) {
                request_status(ip);
            }
        }
    }
    m_loop.call_after(m_leader != 0 ? leader_poll_interval : leader_search_interval,
                      [this, alive = m_is_alive] {
                          if (*alive) {
                              poll_status();
                          }
                      });
}

void leader_link::request_status(std::uint32_t ip) {
    const auto found = m_sockets.find(ip);
    if (found == m_sockets.end()) {
        connect(ip);
        return;
    }
    const auto requested_at = m_status_requested_at.try_emplace(ip, m_loop.now()).first->second;
    if (m_loop.now() - requested_at > silence_limit) { // the connection may be dead: open a new one
        found->second->close();
        m_sockets.erase(found);
        on_connection_lost(ip);
        connect(ip);
        return;
    }
    if (ip == m_leader) {
        m_watch.on_leader_asked(m_loop.now());
    }
    job_wire::cluster_frame frame;
    frame.mutable_ask_status()->set_wants_changes(ip == m_watch.get_observer());
    found->second->send(frame.SerializeAsString());
}

void leader_link::connect(std::uint32_t ip) {
    if (!m_connecting.insert(ip).second) {
        return;
    }
    const auto address = format_address({ip, static_cast<std::uint16_t>(m_port)});
    connect_frame_socket(m_loop, address, connect_timeout,
                         [this, ip, alive = m_is_alive](const std::shared_ptr<frame_socket>& socket) {
                             if (!*alive) {
                                 return;
                             }
                             m_connecting.erase(ip);
                             if (socket == nullptr) {
                                 on_connection_lost(ip);
                                 return;
                             }
                             m_sockets[ip] = socket;
                             m_status_requested_at.erase(ip);
                             socket->start([this, ip](const std::string& bytes) { on_frame(ip, bytes); },
                                           [this, ip] {
                                               m_sockets.erase(ip);
                                               on_connection_lost(ip);
                                           });
                             request_status(ip);
                         });
}

void leader_link::on_connection_lost(std::uint32_t ip) {
    m_status_requested_at.erase(ip);
    if (ip == m_watch.get_observer()) {
        m_watch.on_observer_lost();
    }
    if (ip == m_leader) {
        mark_leader_lost("connection_ended");
    }
}

bool leader_link::is_leader_silent(time_point now) const {
    const auto asked = m_status_requested_at.find(m_leader);
    const bool is_unanswered = asked != m_status_requested_at.end() && now - asked->second > silence_limit;
    return is_unanswered || now - get_last_contact() > silence_limit;
}

time_point leader_link::get_last_contact() const {
    return std::max(m_leader_heard_at, m_watch.get_heard_at(m_leader));
}

void leader_link::on_frame(std::uint32_t ip, const std::string& bytes) {
    job_wire::cluster_frame frame;
    if (!frame.ParseFromString(bytes)) {
        log_event(log_level::warn, "frame_unreadable").add("from", format_ip(ip));
        return;
    }
    m_status_requested_at.erase(ip);
    if (ip == m_leader) {
        m_leader_heard_at = m_loop.now();
        if (std::exchange(m_is_confirming_leader, false)) {
            send_pending();
        }
    }
    if (frame.has_status()) {
        on_status(ip, frame.status());
    } else if (frame.has_answer()) {
        on_answer(ip, frame.answer());
    }
}

void leader_link::on_status(std::uint32_t ip, const job_wire::status_answer& answer) {
    const auto& status = answer.status();
    for (const auto member : status.members().voters()) {
        m_control_ips.insert(get_node_ip(member));
    }
    update_limits(status);
    if (ip == m_watch.get_observer()) {
        on_observer_status(ip, status);
    }
    if (!status.leads()) {
        if (ip == m_leader) {
            mark_leader_lost("leads_no_longer");
        }
        return;
    }
    m_leader_heard_at = m_loop.now();
    m_leader_clock_ms = answer.clock_ms();
    m_leader_clock_read_at = m_loop.now() - m_loop.get_read_delay();
    m_watch.on_leader_status(ip, status.wants_followers_asked(), m_control_ips);
    if (m_spread_returns && status.has_load()) {
        on_load_digest(ip, status.load());
    }
    if (ip == m_leader) {
        return;
    }
    log_event(log_level::info, "leader_found")
        .add("leader", format_ip(ip))
        .add("waiting", static_cast<std::uint64_t>(m_pending.size()));
    m_leader = ip;
    for (auto item = m_sockets.begin(); item != m_sockets.end();) {
        if (item->first == ip || item->first == m_watch.get_observer()) {
            ++item;
            continue;
        }
        item->second->close();
        m_status_requested_at.erase(item->first);
        item = m_sockets.erase(item);
    }
    send_pending();
}

void leader_link::update_limits(const job_wire::cluster_status& status) {
    const auto version = status.config_version();
    const bool is_newer =
        version > m_limits_version && version <= static_cast<std::uint64_t>(max_configuration_version);
    if (version == m_limits_version || !(is_newer || status.leads())) {
        return;
    }
    m_limits_version = version;
    if (m_on_limits) {
        m_on_limits(decode(status.limits()));
    }
}

void leader_link::on_observer_status(std::uint32_t ip, const job_wire::cluster_status& status) {
    if (status.leader_age_ms() < 0 || status.leader_age_ms() > max_leader_age_ms) {
        log_event(log_level::warn, "observer_status_refused")
            .add("observer", format_ip(ip))
            .add("age_ms", status.leader_age_ms());
        return;
    }
    const auto told = status.leads() ? ip : status.leader() == 0 ? 0 : get_node_ip(status.leader());
    m_watch.on_observer_status(told, milliseconds{status.leader_age_ms()}, m_loop.now());
    if (told != 0 && told != ip && told != m_leader) {
        m_control_ips.insert(told);
        request_status(told); // only its own answer shows that it leads
    }
}

void leader_link::on_load_digest(std::uint32_t ip, const job_wire::load_digest& message) {
    const auto statement = read_load_digest(message);
    if (m_digest.update(statement, m_loop.now()) != admission_digest::update_result::new_term) {
        return;
    }
    log_event(log_level::info, "load_digest_taken")
        .add("leader", format_ip(ip))
        .add("term", statement.term)
        .add("version", statement.version)
        .add("spread_ms", to_milliseconds(statement.return_spread))
        .add("open_jobs", statement.open_jobs);
}

std::optional<duration> leader_link::get_digest_age() const {
    return m_digest.get_age(m_loop.now());
}

void leader_link::mark_leader_lost(const char* reason) {
    log_event(log_level::warn, "leader_lost")
        .add("leader", format_ip(m_leader))
        .add("reason", reason)
        .add("open", static_cast<std::uint64_t>(m_pending.size()));
    const auto found = m_sockets.find(m_leader);
    if (found != m_sockets.end() && std::string_view(reason) == "silent") {
        found->second->close();
        m_sockets.erase(found);
        m_status_requested_at.erase(m_leader);
    }
    m_leader_heard_at = get_last_contact();
    m_leader = 0;
    m_leader_lost_at = m_loop.now();
    m_is_confirming_leader = false; // all pending requests are sent to the next leader
    for (auto& [number, item] : m_pending) {
        item->sent_to = 0;
    }
}

bool leader_link::is_connected() const {
    return m_leader != 0 && m_loop.now() - get_last_contact() <= silence_limit;
}

// ---- requests

std::int64_t leader_link::convert_to_leader_clock(time_point when) const {
    return m_leader_clock_ms == 0 ? 0 : m_leader_clock_ms + to_milliseconds(when - m_leader_clock_read_at);
}

void leader_link::relay(job_wire::relay_request request, time_point received_at, time_point deadline,
                        outcome_handler on_outcome) {
    auto item = std::make_unique<pending_request>();
    const auto number = m_next_number++;
    item->number = number;
    request.set_number(number);
    item->request = std::make_unique<job_wire::relay_request>(std::move(request));
    item->on_outcome = std::move(on_outcome);
    item->received_at = received_at;
    item->deadline = deadline;
    item->timer =
        m_loop.call_at(std::min(deadline, get_leader_wait_deadline()), [this, number] { expire(number); });
    auto& stored = *m_pending.emplace(number, std::move(item)).first->second;
    if (!is_connected()) {
        return;
    }
    if (stored.is_read_only() || m_loop.now() - m_leader_heard_at <= leader_confirmation_validity) {
        send(stored);
        return;
    }
    m_is_confirming_leader = true;
    request_status(m_leader);
}

/// Load pattern: all control instances lose power for 5 to 10 s. An election takes up to 1.2 s, so a request
/// that arrives while one may be running waits for its end. A later request is rejected at once, since
/// nothing indicates that a leader will appear within the next second.
time_point leader_link::get_leader_wait_deadline() const {
    const auto now = m_loop.now();
    return m_leader != 0 ? now + m_leader_wait : std::max(now, m_leader_lost_at + m_leader_wait);
}

duration leader_link::get_retry_after() const {
    const bool was_heard = m_leader_heard_at != time_point{};
    return was_heard ? std::clamp(m_loop.now() - m_leader_heard_at, min_retry_after, max_retry_after)
                     : min_retry_after;
}

duration leader_link::take_return_delay(const pending_request& item) {
    const auto delay = m_digest.get_return_delay(item.request->target(), m_loop.now());
    m_spread_refusals += delay > duration{0} ? 1 : 0;
    return delay;
}

void leader_link::send(pending_request& item) {
    const auto found = m_sockets.find(m_leader);
    if (found == m_sockets.end()) {
        return;
    }
    item.recipients.push_back(m_leader);
    item.sent_to = m_leader;
    item.request->set_received_ms(convert_to_leader_clock(item.received_at));
    job_wire::cluster_frame frame;
    frame.unsafe_arena_set_allocated_request(item.request.get()); // a copy would hold the body twice
    const auto bytes = frame.SerializeAsString();
    static_cast<void>(frame.unsafe_arena_release_request()); // `item` still owns it
    found->second->send(bytes);
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
        return; // already abandoned
    }
    auto& item = *found->second;
    if (!answer.taken() || answer.status() == 0) {
        // `taken` is false when the instance does not lead; status 0 means that it does not know the outcome.
        // The request is sent again to the next leader.
        item.sent_to = 0;
        if (m_leader != 0) {
            mark_leader_lost(answer.taken() ? "outcome_unknown" : "leads_no_longer");
        }
        return;
    }
    relay_outcome outcome;
    outcome.status = static_cast<int>(answer.status());
    if (outcome.status >= first_error_status && item.has_another_copy_at(ip)) {
        outcome.result = relay_outcome::kind::unknown;
        log_abandoned(item, outcome.result);
    }
    outcome.body = answer.body();
    outcome.retry_after = milliseconds{answer.retry_after_ms()};
    const auto finished = std::move(found->second);
    m_pending.erase(found);
    m_loop.cancel(finished->timer);
    finished->on_outcome(outcome);
}

void leader_link::expire(std::uint64_t number) {
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return;
    }
    auto& item = *found->second;
    if (item.should_keep_waiting() && m_loop.now() < item.deadline) {
        const auto next = item.is_read_only() ? m_loop.now() + m_leader_wait : item.deadline;
        item.timer = m_loop.call_at(std::min(item.deadline, next), [this, number] { expire(number); });
        return;
    }
    const auto finished = std::move(found->second);
    m_pending.erase(found);
    relay_outcome outcome;
    outcome.result = classify_abandoned(*finished);
    outcome.retry_after = get_retry_after();
    if (outcome.result == relay_outcome::kind::never_sent) {
        outcome.retry_after += take_return_delay(*finished);
    }
    log_abandoned(*finished, outcome.result);
    finished->on_outcome(outcome);
}

void leader_link::log_abandoned(const pending_request& item, relay_outcome::kind result) {
    log_event(log_level::warn, "request_given_up")
        .add("method", item.request->method())
        .add("target", item.request->target())
        .add("outcome", get_outcome_name(result))
        .add("copies", static_cast<std::uint64_t>(item.recipients.size()));
}

relay_outcome::kind leader_link::classify_abandoned(const pending_request& item) {
    if (!item.was_sent()) {
        return relay_outcome::kind::never_sent;
    }
    return item.is_read_only() ? relay_outcome::kind::not_read : relay_outcome::kind::unknown;
}

} // namespace poplarpitch
