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
    if (!start_listening(m_acceptor, m_settings.host, m_settings.port, listen_backlog)) {
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
    const auto sessions = m_sessions; // closing one changes the set
    for (const auto& item : sessions) {
        item->close();
    }
}

void http_sessions::drain() {
    m_is_draining = true;
    boost::system::error_code ignored; // it accepts no new connections in any case
    m_acceptor.close(ignored);
    const auto sessions = m_sessions; // closing one changes the set
    for (const auto& item : sessions) {
        item->close_if_idle(m_loop.now() + seconds{1});
    }
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
    m_sessions.insert(opened);
    opened->start();
}

/// Closes the connection that has been idle for longest. Its client can connect again, while a rejected
/// client would have to look for another instance. Load pattern: more workers send heartbeats than there are
/// descriptors.
bool http_sessions::make_room() {
    if (m_sessions.size() < m_settings.max_connections) {
        return true;
    }
    std::shared_ptr<http_session> oldest;
    for (const auto& item : m_sessions) {
        if (item->is_idle() && (oldest == nullptr || item->get_last_use() < oldest->get_last_use())) {
            oldest = item;
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    oldest->close();
    return true;
}

void http_sessions::schedule_sweep() {
    m_sweep_timer = m_loop.call_after(m_settings.sweep_interval, [self = shared_from_this()] {
        const auto oldest = self->m_loop.now() - self->m_settings.limits.idle_timeout;
        const auto sessions = self->m_sessions; // closing one changes the set
        for (const auto& item : sessions) {
            item->close_if_idle(oldest);
        }
        self->schedule_sweep();
    });
}

} // namespace poplarpitch
