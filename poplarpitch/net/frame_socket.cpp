#include "poplarpitch/net/frame_socket.h"

#include "poplarpitch/net/acceptor.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace poplarpitch {

namespace asio = boost::asio;

namespace {

constexpr std::size_t header_size = 4;
constexpr std::size_t max_frame = 64U << 20;  // bytes; a larger length is not one of ours
constexpr std::size_t max_unsent = 16U << 20; // bytes waiting for a reader that may be gone
constexpr std::size_t read_size = 64U << 10;  // bytes a system call
constexpr int unacknowledged_limit_ms = 2500; // TCP_USER_TIMEOUT: a path that went silent ends the connection
constexpr int listen_backlog = 1024;

void set_options(asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored; // each only shortens waits
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int limit = unacknowledged_limit_ms;
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit)));
}

void append_header(std::string& target, std::size_t size) {
    for (std::size_t byte = 0; byte < header_size; ++byte) {
        target += static_cast<char>((size >> (8U * byte)) & 0xffU);
    }
}

std::size_t read_header(const std::string& bytes, std::size_t offset) {
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < header_size; ++byte) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[offset + byte])) << (8U * byte);
    }
    return size;
}

} // namespace

struct frame_socket::parts {
    parts(event_loop& owner, asio::ip::tcp::socket connected) : loop(owner), socket(std::move(connected)) {}

    event_loop& loop;
    asio::ip::tcp::socket socket;
    frame_handler on_frame;
    std::function<void()> on_closed;
    std::array<char, read_size> buffer{};
    std::string received;
    std::string sending;
    std::string waiting; ///< frames behind `sending`
    bool is_writing = false;
};

frame_socket::frame_socket(std::unique_ptr<parts> connected) : m_parts(std::move(connected)) {
    set_options(m_parts->socket);
}

frame_socket::~frame_socket() = default;

void frame_socket::start(frame_handler on_frame, std::function<void()> on_closed) {
    m_parts->on_frame = std::move(on_frame);
    m_parts->on_closed = std::move(on_closed);
    read();
}

void frame_socket::read() {
    m_parts->socket.async_read_some(
        asio::buffer(m_parts->buffer),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            if (error) {
                self->end();
                return;
            }
            self->on_bytes(count);
        });
}

void frame_socket::on_bytes(std::size_t count) {
    auto& bytes = m_parts->received;
    bytes.append(m_parts->buffer.data(), count);
    std::size_t offset = 0;
    while (bytes.size() - offset >= header_size) {
        const auto size = read_header(bytes, offset);
        if (size > max_frame) {
            end();
            return;
        }
        if (bytes.size() - offset - header_size < size) {
            break;
        }
        const auto frame = bytes.substr(offset + header_size, size);
        offset += header_size + size;
        if (m_parts->on_frame) {
            m_parts->on_frame(frame);
        }
        if (!m_parts->socket.is_open()) {
            return; // the handler closed it
        }
    }
    bytes.erase(0, offset);
    read();
}

void frame_socket::send(const std::string& frame) {
    if (!m_parts->socket.is_open()) {
        return;
    }
    if (m_parts->waiting.size() + frame.size() > max_unsent) {
        end();
        return;
    }
    append_header(m_parts->waiting, frame.size());
    m_parts->waiting += frame;
    if (!m_parts->is_writing) {
        m_parts->is_writing = true;
        // Frames of the same turn share one write.
        m_parts->loop.post([self = shared_from_this()] { self->write(); });
    }
}

void frame_socket::write() {
    if (!m_parts->socket.is_open() || m_parts->waiting.empty()) {
        m_parts->is_writing = false;
        return;
    }
    m_parts->sending.swap(m_parts->waiting);
    m_parts->waiting.clear();
    asio::async_write(m_parts->socket, asio::buffer(m_parts->sending),
                      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                          if (error) {
                              self->end();
                              return;
                          }
                          self->m_parts->sending.clear();
                          self->write();
                      });
}

void frame_socket::end() {
    const auto work = std::move(m_parts->on_closed);
    close();
    if (work) {
        work();
    }
}

void frame_socket::close() {
    boost::system::error_code ignored; // it goes either way
    m_parts->socket.close(ignored);
    m_parts->on_closed = nullptr;
    // The frame handler may be running; it is dropped when the loop comes back.
    m_parts->loop.post([self = shared_from_this()] { self->m_parts->on_frame = nullptr; });
}

bool frame_socket::is_open() const {
    return m_parts->socket.is_open();
}

struct frame_listener::parts {
    parts(event_loop& owner, std::string address, int chosen, accept_handler work)
        : loop(owner), host(std::move(address)), port(chosen), on_accept(std::move(work)),
          acceptor(owner.get_context()) {}

    event_loop& loop;
    std::string host;
    int port;
    accept_handler on_accept;
    asio::ip::tcp::acceptor acceptor;

    static void accept(const std::shared_ptr<parts>& self) {
        self->acceptor.async_accept(
            [self](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
                if (!self->acceptor.is_open()) {
                    return;
                }
                if (error) {
                    self->loop.call_after(milliseconds{100}, [self] { accept(self); });
                    return;
                }
                self->on_accept(std::make_shared<frame_socket>(
                    std::make_unique<frame_socket::parts>(self->loop, std::move(socket))));
                accept(self);
            });
    }
};

frame_listener::frame_listener(event_loop& loop, std::string host, int port, accept_handler on_accept)
    : m_parts(std::make_shared<parts>(loop, std::move(host), port, std::move(on_accept))) {}

frame_listener::~frame_listener() {
    boost::system::error_code ignored; // it ends either way
    m_parts->acceptor.close(ignored);
}

int frame_listener::start() {
    auto& acceptor = m_parts->acceptor;
    if (!start_listening(acceptor, m_parts->host, m_parts->port, listen_backlog)) {
        return 0;
    }
    parts::accept(m_parts);
    return acceptor.local_endpoint().port();
}

void connect_frame_socket(event_loop& loop, const std::string& address, duration timeout,
                          std::function<void(std::shared_ptr<frame_socket>)> on_done) {
    const auto target = read_socket_address(address);
    if (!target.has_value()) {
        loop.post([on_done = std::move(on_done)] { on_done(nullptr); });
        return;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(loop.get_context());
    const auto timer = loop.call_after(timeout, [socket] {
        boost::system::error_code ignored; // closing makes the connect fail
        socket->close(ignored);
    });
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(target->ip), target->port);
    socket->async_connect(endpoint, [&loop, socket, timer,
                                     on_done = std::move(on_done)](const boost::system::error_code& error) {
        loop.cancel(timer);
        if (error || !socket->is_open()) {
            on_done(nullptr);
            return;
        }
        on_done(
            std::make_shared<frame_socket>(std::make_unique<frame_socket::parts>(loop, std::move(*socket))));
    });
}

} // namespace poplarpitch
