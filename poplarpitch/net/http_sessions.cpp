#include "poplarpitch/net/http_sessions.h"

#include "poplarpitch/net/acceptor.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_session.h"
#include "poplarpitch/net/net_error.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace poplarpitch {

namespace asio = boost::asio;

namespace {

constexpr int listen_backlog = 4096; // a burst of connects is accepted without a SYN retransmission
constexpr duration accept_retry_delay = milliseconds{100}; // when file descriptors are exhausted

} // namespace

http_sessions::http_sessions(event_loop& loop, memory_budget& budget, const http_listener_settings& settings,
                             http_listener::request_handler handler)
    : m_loop(loop), m_budget(budget), m_settings(settings), m_handler(std::move(handler)),
      m_acceptor(loop.get_context()) {}

result<int> http_sessions::start() {
    if (!start_listening(m_acceptor, m_settings.host, m_settings.port, listen_backlog,
                         m_settings.kernel_buffer)) {
        return make_error_code(net_errc::listen_failed);
    }
    accept();
    schedule_sweep();
    return static_cast<int>(m_acceptor.local_endpoint().port());
}

void http_sessions::close() {
    boost::system::error_code ignored; // it is closed in any case
    m_acceptor.close(ignored);
    m_loop.cancel(m_sweep_timer);
    for (const auto* list : {&m_moving, &m_handling}) {
        for (const auto& item : session_list(*list)) { // closing one changes the list
            item->close();
        }
    }
}

void http_sessions::drain() {
    m_is_draining = true;
    boost::system::error_code ignored; // it accepts no new connections in any case
    m_acceptor.close(ignored);
    for (const auto& item : session_list(m_moving)) { // closing one changes the list
        item->close_unless_answering();
    }
}

void http_sessions::on_closed(http_session& closed) {
    auto& list = closed.m_state == http_session::state::handling ? m_handling : m_moving;
    list.erase(closed.m_position);
}

void http_sessions::on_moved(http_session& moved) {
    auto& list = moved.m_state == http_session::state::handling ? m_handling : m_moving;
    m_moving.splice(m_moving.end(), list, moved.m_position);
}

void http_sessions::on_handled(http_session& handling) {
    m_handling.splice(m_handling.end(), m_moving, handling.m_position);
}

void http_sessions::accept() {
    m_acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (error) {
                self->m_loop.call_after(accept_retry_delay, [self] { self->accept(); });
                return;
            }
            self->add(std::move(socket));
            self->accept();
        });
}

void http_sessions::add(asio::ip::tcp::socket socket) {
    if (!make_room()) {
        return;
    }
    boost::system::error_code ignored; // without the option responses are only delayed a little
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto opened = std::make_shared<http_session>(shared_from_this(), std::move(socket));
    opened->m_position = m_moving.insert(m_moving.end(), opened);
    opened->start();
}

/// The client of a closed connection can connect again, while a rejected one would have to look for another
/// instance. Load patterns: more workers send heartbeats than there are descriptors; clients that read no
/// answer or never end a request keep all connections, and ordinary callers get none.
bool http_sessions::make_room() {
    if (get_connections() < m_settings.max_connections) {
        return true;
    }
    if (m_moving.empty()) {
        return false;
    }
    const auto stalest = m_moving.front(); // closing it removes it from the list
    stalest->close_for(http_refusal::connections);
    return true;
}

void http_sessions::check_timeouts() {
    if (m_loop.get_read_delay() > m_settings.sweep_interval) {
        return; // this process was suspended: what clients sent meanwhile may not be read yet
    }
    for (const auto& item : session_list(m_moving)) { // closing one changes the list
        item->check_timeouts();
    }
}

void http_sessions::schedule_sweep() {
    m_sweep_timer = m_loop.call_after(m_settings.sweep_interval, [self = shared_from_this()] {
        self->check_timeouts();
        self->schedule_sweep();
    });
}

} // namespace poplarpitch
