#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch::job_wire {
class cluster_frame;
class cluster_status;
class relay_answer;
class relay_request;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

class event_loop;
class frame_socket;

/// How a relayed request ended.
struct relay_outcome {
    enum class kind : std::uint8_t {
        answered,
        never_sent, ///< no leader was found in time: nothing was done and never will be
        not_read,   ///< it only asks, and no answer came: it may be asked again anywhere, at once
        unknown,    ///< sent, but no answer came: it may have been done
    };
    kind result = kind::answered;
    int status = 0;
    std::string body;
    duration retry_after{}; ///< when to come back; zero for none

    friend bool operator==(const relay_outcome&, const relay_outcome&) = default;
};

/// An entry instance's connection to the instance that leads.
///
/// While no leader is known it asks all control instances that it has heard of. One that leads is asked again
/// a few times a second; one that falls silent, or says that it leads no longer, is given up, and requests
/// without an answer go to the next one: every relayed request may arrive twice. A request that changes
/// something is sent only to a leader that was heard a moment ago, otherwise it asks first: what was sent to
/// one that had just lost power could be told neither accepted nor refused, and its caller waited to its
/// deadline for a 504 where a 503 after 1.2 s is true (19 to 21 requests a power loss of all control
/// instances; 0 to 3 since). Thread safety: the loop's thread, for all methods.
class leader_link {
public:
    using outcome_handler = std::function<void(const relay_outcome&)>;

    /// Precondition: `loop` outlives the link. `seeds` are IPv4 addresses.
    leader_link(event_loop& loop, const std::vector<std::string>& seeds, int port, duration leader_wait);
    ~leader_link();
    leader_link(const leader_link&) = delete;
    leader_link& operator=(const leader_link&) = delete;

    /// Begins to look for a leader.
    void start();
    /// Sends a request to the leader; `on_outcome` is called once, at the latest at `deadline`.
    void relay(job_wire::relay_request request, time_point deadline, outcome_handler on_outcome);
    /// Returns true when a leader answered a moment ago.
    [[nodiscard]] bool is_connected() const;
    /// Returns how many requests have no outcome yet.
    [[nodiscard]] std::size_t get_open_requests() const { return m_pending.size(); }

private:
    struct pending_request;

    void poll_status();
    void request_status(std::uint32_t ip);
    void connect(std::uint32_t ip);
    void on_frame(std::uint32_t ip, const std::string& bytes);
    void on_status(std::uint32_t ip, const job_wire::cluster_status& status);
    void on_answer(std::uint32_t ip, const job_wire::relay_answer& answer);
    void mark_leader_lost(const char* reason);
    void send_pending();
    [[nodiscard]] duration get_retry_after() const;
    /// Returns until when a request that reached no leader waits for one.
    [[nodiscard]] time_point get_leader_wait_deadline() const;
    void send(pending_request& item);
    void expire(std::uint64_t number);
    static void log_abandoned(const pending_request& item, relay_outcome::kind result);
    /// Returns what is known of a request that is given up.
    [[nodiscard]] static relay_outcome::kind classify_abandoned(const pending_request& item);

    event_loop& m_loop;
    int m_port;
    duration m_leader_wait;
    std::set<std::uint32_t> m_control_ips; ///< control instances heard of
    std::map<std::uint32_t, std::shared_ptr<frame_socket>> m_sockets;
    std::set<std::uint32_t> m_connecting;
    std::map<std::uint32_t, time_point> m_status_requested_at; ///< instances that owe an answer, since when
    std::uint32_t m_leader = 0;
    time_point m_leader_heard_at{};
    time_point m_leader_lost_at{}; ///< while no leader is known: since when
    std::map<std::uint64_t, std::unique_ptr<pending_request>> m_pending;
    bool m_is_confirming_leader = false; ///< requests wait for a sign of life of the leader
    std::uint64_t m_next_number = 1;
    std::shared_ptr<bool> m_is_alive;
};

} // namespace poplarpitch
