#pragma once

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace poplarpitch {

class http_session;

/// The state that a listener and its connections share. It exists until neither uses it any more. Thread
/// safety: the loop's thread, for all methods.
class http_sessions : public std::enable_shared_from_this<http_sessions> {
public:
    /// Precondition: `loop` and `budget` outlive the object.
    http_sessions(event_loop& loop, memory_budget& budget, const http_listener_settings& settings,
                  http_listener::request_handler handler);

    /// Starts to listen. Returns the port, or `net_errc::listen_failed`.
    result<int> start();
    /// Closes the listening socket and all connections.
    void close();
    /// Accepts no more connections, closes idle ones, and closes the others after their response.
    void drain();
    /// Replaces the limits, for requests that begin from now on.
    void set_limits(const http_limits& limits) { m_settings.limits = limits; }
    /// Closes each connection after its next response.
    void close_after_responses() { m_is_draining = true; }

    /// Called when a connection is closed.
    void on_closed(http_session& closed);
    /// Called when a connection has received or sent something.
    void on_moved(http_session& moved);
    /// Called when a whole request was read.
    void on_request() { ++m_open_requests; }
    /// Called when a request is passed to the handler. Its connection is not closed to make room.
    void on_handled(http_session& handling);
    /// Called when the response to a request was written, or cannot be.
    void on_request_ended() { --m_open_requests; }
    /// Called when a request was refused or a connection is closed for this reason.
    void on_refused(http_refusal reason) { ++m_refusals[static_cast<std::size_t>(reason)]; }
    /// Called when a request was dropped because its client had left.
    void on_abandoned() { ++m_abandoned_requests; }
    /// Passes a request to the handler.
    void handle(http_request request, http_responder respond) {
        m_handler(std::move(request), std::move(respond));
    }

    [[nodiscard]] memory_budget& get_budget() const { return m_budget; }
    [[nodiscard]] event_loop& get_loop() const { return m_loop; }
    [[nodiscard]] const http_listener_settings& get_settings() const { return m_settings; }
    [[nodiscard]] bool is_draining() const { return m_is_draining; }
    [[nodiscard]] const http_refusal_counts& get_refusals() const { return m_refusals; }
    [[nodiscard]] std::size_t get_open_requests() const { return m_open_requests; }
    [[nodiscard]] std::uint64_t get_abandoned_requests() const { return m_abandoned_requests; }
    [[nodiscard]] std::size_t get_connections() const { return m_moving.size() + m_handling.size(); }

private:
    friend class http_session;
    using session_list = std::list<std::shared_ptr<http_session>>;

    void accept();
    void add(boost::asio::ip::tcp::socket socket);
    /// Makes room for another connection if the limit is reached, by closing the one on which nothing has
    /// moved for longest. Returns false if the requests of all connections are being handled.
    bool make_room();
    /// Ends the connections of which a time limit has passed.
    void check_timeouts();
    void schedule_sweep();

    event_loop& m_loop;
    memory_budget& m_budget;
    http_listener_settings m_settings;
    http_listener::request_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    session_list m_moving;   ///< the connection that has moved last at the end
    session_list m_handling; ///< connections whose request is being handled
    std::size_t m_open_requests = 0;
    std::uint64_t m_abandoned_requests = 0;
    http_refusal_counts m_refusals{};
    bool m_is_draining = false;
    timer_id m_sweep_timer = 0;
};

} // namespace poplarpitch
