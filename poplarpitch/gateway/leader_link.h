#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/gateway/admission_digest.h"
#include "poplarpitch/gateway/leader_watch.h"
#include "poplarpitch/scheduling/request_limits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch::job_wire {
class cluster_frame;
class cluster_status;
class relay_answer;
class relay_request;
class status_answer;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

class event_loop;
class frame_socket;

/// The outcome of a relayed request.
struct relay_outcome {
    enum class kind : std::uint8_t {
        answered,
        never_sent, ///< no leader was found in time; the request was not and will not be carried out
        not_read,   ///< a read without an answer; safe to repeat at once and through any entry instance
        unknown,    ///< a change that was sent, with an unknown outcome; it may have been carried out
    };
    kind result = kind::answered;
    int status = 0;
    std::string body;
    duration retry_after{}; ///< delay that the caller is asked to wait before a retry; zero for none

    friend bool operator==(const relay_outcome&, const relay_outcome&) = default;
};

/// An entry instance's connection to the control instance that leads.
///
/// While no leader is known, the link requests the status of all known control instances. It polls a known
/// leader a few times a second, and drops it when it falls silent or reports that it no longer leads. A
/// leader with many entry instances is polled seldom and followed through another instance, see
/// `leader_watch`. Requests without an answer are then sent to the next leader, so every relayed request may
/// arrive twice.
///
/// A change is sent only to a leader that was heard from within the last 50 ms. Otherwise the link first
/// requests the leader's status. A change that was sent to a leader which had just lost power could be
/// reported neither as accepted nor as rejected, so its caller waited until its deadline for a 504 where a
/// 503 after 1.2 s is correct (19 to 21 requests per power loss of all control instances; 0 to 3 with this
/// check).
///
/// Thread safety: the loop's thread, for all methods.
class leader_link {
public:
    using outcome_handler = std::function<void(const relay_outcome&)>;
    /// Called with the limits of another configuration.
    using limits_handler = std::function<void(const request_limits&)>;

    /// `seeds` are IPv4 addresses of control instances; all of them listen on `port`. A request waits for a
    /// leader for `leader_wait`. With `spread_returns`, the callers of requests that are refused for want of
    /// a leader are asked to return one after the other, by the last leader's load digest; without it,
    /// digests are ignored. `own_hash` differs between entry instances and spreads them over the instances
    /// through which they follow the leader. Precondition: `loop` outlives the link.
    leader_link(event_loop& loop, const std::vector<std::string>& seeds, int port, duration leader_wait,
                bool spread_returns = false, std::uint64_t own_hash = 0);
    ~leader_link();
    leader_link(const leader_link&) = delete;
    leader_link& operator=(const leader_link&) = delete;

    /// Sets what is called when another configuration took effect. Precondition: called before `start`.
    void on_limits(limits_handler handler) { m_on_limits = std::move(handler); }
    /// Starts the search for a leader.
    void start();
    /// Sends a request that arrived at `received_at` to the leader, or queues it until a leader is found.
    /// `on_outcome` is called once, at the latest at `deadline`.
    void relay(job_wire::relay_request request, time_point received_at, time_point deadline,
               outcome_handler on_outcome);
    /// Returns true when a leader is known and was heard from within the silence limit.
    [[nodiscard]] bool is_connected() const;
    /// Returns true while the leader is followed through another instance.
    [[nodiscard]] bool has_observer() const { return m_watch.get_observer() != 0; }
    /// Returns the number of requests that have no outcome yet.
    [[nodiscard]] std::size_t get_open_requests() const { return m_pending.size(); }
    /// Returns the time since the load digest in use arrived, or nothing while there is none.
    [[nodiscard]] std::optional<duration> get_digest_age() const;
    /// Returns how many refusals had their time of return changed by a load digest.
    [[nodiscard]] std::uint64_t get_spread_refusals() const { return m_spread_refusals; }

private:
    struct pending_request;

    void poll_status();
    void request_status(std::uint32_t ip);
    /// Called when the connection to an instance ended or could not be opened.
    void on_connection_lost(std::uint32_t ip);
    void on_observer_status(std::uint32_t ip, const job_wire::cluster_status& status);
    /// Returns true when nothing was heard of the leader for too long, or it does not answer this instance.
    [[nodiscard]] bool is_leader_silent(time_point now) const;
    /// Returns when the leader was last heard, by this instance or through the observer.
    [[nodiscard]] time_point get_last_contact() const;
    void connect(std::uint32_t ip);
    void on_frame(std::uint32_t ip, const std::string& bytes);
    void on_status(std::uint32_t ip, const job_wire::status_answer& answer);
    void on_answer(std::uint32_t ip, const job_wire::relay_answer& answer);
    /// Takes over the limits in a status of the leader, or of a newer configuration.
    void update_limits(const job_wire::cluster_status& status);
    void on_load_digest(std::uint32_t ip, const job_wire::load_digest& message);
    void mark_leader_lost(const char* reason);
    void send_pending();
    /// Returns a time of this instance on the leader's steady clock in milliseconds, or 0 while that is not
    /// known.
    [[nodiscard]] std::int64_t convert_to_leader_clock(time_point when) const;
    [[nodiscard]] duration get_retry_after() const;
    /// Returns what is added to the retry time of a request that was never sent, and counts it.
    [[nodiscard]] duration take_return_delay(const pending_request& item);
    /// Returns the time until which a new request waits for a leader.
    [[nodiscard]] time_point get_leader_wait_deadline() const;
    void send(pending_request& item);
    void expire(std::uint64_t number);
    static void log_abandoned(const pending_request& item, relay_outcome::kind result);
    /// Returns the outcome of a request that was abandoned without an answer.
    [[nodiscard]] static relay_outcome::kind classify_abandoned(const pending_request& item);

    event_loop& m_loop;
    int m_port;
    duration m_leader_wait;
    bool m_spread_returns;
    std::set<std::uint32_t> m_control_ips; ///< known control instances: seeds and reported voters
    std::map<std::uint32_t, std::shared_ptr<frame_socket>> m_sockets;
    std::set<std::uint32_t> m_connecting;
    /// When the oldest unanswered status request to each instance was sent.
    std::map<std::uint32_t, time_point> m_status_requested_at;
    leader_watch m_watch;
    std::uint32_t m_leader = 0;
    time_point m_leader_heard_at{};      ///< when its last frame arrived
    std::int64_t m_leader_clock_ms = 0;  ///< its steady clock in its last status; 0 when it told none
    time_point m_leader_clock_read_at{}; ///< earliest time at which that status may have arrived
    time_point m_leader_lost_at{};       ///< start of the search for a leader while none is known
    std::map<std::uint64_t, std::unique_ptr<pending_request>> m_pending;
    bool m_is_confirming_leader = false; ///< queued changes wait for the leader's next frame
    std::uint64_t m_next_number = 1;
    admission_digest m_digest; ///< kept when the leader is lost: it is needed until the next one is found
    std::uint64_t m_spread_refusals = 0;
    limits_handler m_on_limits;
    std::uint64_t m_limits_version = 0; ///< of the configuration whose limits hold; 0: none
    std::shared_ptr<bool> m_is_alive;
};

} // namespace poplarpitch
