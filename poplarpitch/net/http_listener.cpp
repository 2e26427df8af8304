#include "poplarpitch/net/http_listener.h"

#include "poplarpitch/net/acceptor.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/net_error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>

namespace poplarpitch {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr int listen_backlog = 4096; // a burst of connects is accepted without a SYN retransmission
constexpr duration accept_retry_delay = milliseconds{100}; // when file descriptors are exhausted
constexpr std::uint32_t max_header_bytes = 64U << 10;      // bytes

} // namespace

/// The state that sessions and the listener share. It exists until neither uses it any more.
struct http_listener::impl {
    impl(event_loop& owner, const http_listener_settings& chosen, request_handler work)
        : loop(owner), settings(chosen), handler(std::move(work)), acceptor(owner.get_context()) {}

    event_loop& loop;
    http_listener_settings settings;
    request_handler handler;
    asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t open_requests = 0;
    std::uint64_t abandoned_requests = 0;
    bool is_draining = false;
    timer_id sweep_timer = 0;

    static void accept(const std::shared_ptr<impl>& self);
    /// Makes room for another connection, by closing an idle one if the limit is reached. Returns false if no
    /// connection is idle.
    bool make_room();
    static void schedule_sweep(const std::shared_ptr<impl>& self);
};

/// One connection. It reads a request, waits for the response, writes it, and reads the next request.
class http_listener::session : public std::enable_shared_from_this<session> {
public:
    session(std::shared_ptr<impl> owner, asio::ip::tcp::socket socket)
        : m_impl(std::move(owner)), m_socket(std::move(socket)), m_last_use(m_impl->loop.now()) {}

    void read() {
        m_parser.emplace();
        m_parser->body_limit(m_impl->settings.max_body);
        m_parser->header_limit(max_header_bytes);
        beast::http::async_read(m_socket, m_buffer, *m_parser,
                                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                                    self->on_read(error);
                                });
    }

    void close() {
        boost::system::error_code ignored; // it is closed in any case
        m_socket.close(ignored);
        m_impl->sessions.erase(shared_from_this());
    }

    [[nodiscard]] bool is_idle() const { return !m_is_busy; }
    [[nodiscard]] time_point get_last_use() const { return m_last_use; }

    void close_if_idle(time_point oldest) {
        if (!m_is_busy && m_last_use < oldest) {
            close();
        }
    }

private:
    /// Returns true when the request may have waited for long and its client has closed the connection
    /// meanwhile.
    bool is_abandoned() {
        if (m_impl->loop.get_read_delay() <= m_impl->settings.max_abandoned_wait) {
            return false;
        }
        char next = 0;
        boost::system::error_code error;
        m_socket.non_blocking(true, error);
        m_socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
        return error && error != asio::error::would_block && error != asio::error::try_again;
    }

    void on_read(const beast::error_code& error) {
        if (error == beast::http::error::body_limit) {
            m_is_busy = true;
            ++m_impl->open_requests;
            m_must_close = true;
            write(make_error_response(413, "too_large", "the body is larger than allowed"));
            return;
        }
        if (error) {
            close();
            return;
        }
        if (is_abandoned()) {
            ++m_impl->abandoned_requests;
            close();
            return;
        }
        m_is_busy = true;
        m_last_use = m_impl->loop.now();
        ++m_impl->open_requests;
        auto message = m_parser->release();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message) {
            request.headers.add(std::string(field.name_string()), std::string(field.value()));
        }
        request.body = std::move(message.body());
        m_version = message.version();
        m_must_close = !message.keep_alive();
        std::weak_ptr<session> weak = shared_from_this();
        m_impl->handler(std::move(request), [weak](http_response response) {
            if (const auto self = weak.lock()) {
                self->write(std::move(response));
            }
        });
    }

    void write(http_response response) {
        if (!m_socket.is_open() || m_response.has_value()) {
            return;
        }
        m_must_close = m_must_close || m_impl->is_draining;
        m_response.emplace(static_cast<beast::http::status>(response.status), m_version);
        for (const auto& header : response.headers.get_all()) {
            m_response->insert(header.name, header.value);
        }
        if (!response.body.empty()) {
            m_response->set(beast::http::field::content_type, response.content_type);
        }
        m_response->keep_alive(!m_must_close);
        m_response->body() = std::move(response.body);
        m_response->prepare_payload();
        beast::http::async_write(m_socket, *m_response,
                                 [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                                     self->on_written(error);
                                 });
    }

    void on_written(const beast::error_code& error) {
        --m_impl->open_requests;
        m_is_busy = false;
        m_last_use = m_impl->loop.now();
        m_response.reset();
        if (error || m_must_close) {
            boost::system::error_code ignored; // the peer may have closed it first
            m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            close();
            return;
        }
        read();
    }

    std::shared_ptr<impl> m_impl;
    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    std::optional<beast::http::response<beast::http::string_body>> m_response;
    unsigned m_version = 11;
    bool m_must_close = false;
    bool m_is_busy = false;
    time_point m_last_use;
};

void http_listener::impl::accept(const std::shared_ptr<impl>& self) {
    self->acceptor.async_accept([self](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (!self->acceptor.is_open()) {
            return;
        }
        if (error) {
            self->loop.call_after(accept_retry_delay, [self] { accept(self); });
            return;
        }
        if (self->make_room()) {
            boost::system::error_code ignored; // without the option responses are only delayed a little
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            auto opened = std::make_shared<session>(self, std::move(socket));
            self->sessions.insert(opened);
            opened->read();
        }
        accept(self);
    });
}

/// Closes the connection that has been idle for longest. Its client can connect again, while a rejected
/// client would have to look for another instance. Load pattern: more workers send heartbeats than there are
/// descriptors.
bool http_listener::impl::make_room() {
    if (sessions.size() < settings.max_connections) {
        return true;
    }
    std::shared_ptr<session> oldest;
    for (const auto& item : sessions) {
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

void http_listener::impl::schedule_sweep(const std::shared_ptr<impl>& self) {
    self->sweep_timer = self->loop.call_after(self->settings.sweep_interval, [self] {
        const auto oldest = self->loop.now() - self->settings.idle_timeout;
        const auto sessions = self->sessions; // closing one changes the set
        for (const auto& item : sessions) {
            item->close_if_idle(oldest);
        }
        schedule_sweep(self);
    });
}

http_listener::http_listener(event_loop& loop, const http_listener_settings& settings,
                             request_handler handler)
    : m_impl(std::make_shared<impl>(loop, settings, std::move(handler))) {}

http_listener::~http_listener() {
    boost::system::error_code ignored; // it is closed in any case
    m_impl->acceptor.close(ignored);
    m_impl->loop.cancel(m_impl->sweep_timer);
    const auto sessions = m_impl->sessions;
    for (const auto& item : sessions) {
        item->close();
    }
}

result<int> http_listener::start() {
    auto& acceptor = m_impl->acceptor;
    if (!start_listening(acceptor, m_impl->settings.host, m_impl->settings.port, listen_backlog)) {
        return make_error_code(net_errc::listen_failed);
    }
    impl::accept(m_impl);
    impl::schedule_sweep(m_impl);
    return static_cast<int>(acceptor.local_endpoint().port());
}

void http_listener::close_connections_after_responses() {
    m_impl->is_draining = true;
}

void http_listener::drain() {
    m_impl->is_draining = true;
    boost::system::error_code ignored; // it accepts no new connections in any case
    m_impl->acceptor.close(ignored);
    const auto sessions = m_impl->sessions; // closing one changes the set
    for (const auto& item : sessions) {
        item->close_if_idle(m_impl->loop.now() + seconds{1});
    }
}

std::size_t http_listener::get_open_requests() const {
    return m_impl->open_requests;
}

std::uint64_t http_listener::get_abandoned_requests() const {
    return m_impl->abandoned_requests;
}

std::size_t http_listener::get_connections() const {
    return m_impl->sessions.size();
}

} // namespace poplarpitch
