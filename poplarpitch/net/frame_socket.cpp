#include "poplarpitch/net/frame_socket.h"

#include "poplarpitch/net/acceptor.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_limits.h"
#include "poplarpitch/net/memory_account.h"
#include "poplarpitch/net/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace poplarpitch {

namespace asio = boost::asio;

namespace {

constexpr std::size_t header_bytes = 4;
constexpr std::size_t first_read_bytes = 2U << 10; // many connections carry only a status now and then
constexpr std::size_t max_read_bytes = 64U << 10;  // for each system call, of a connection that carries more
constexpr int kernel_buffer_bytes = 128 << 10;     // of an accepted connection, in each direction
constexpr int tcp_user_timeout_ms = 2500;          // closes the connection when the path stops responding
constexpr int listen_backlog = 1024;

void set_options(asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored; // the options only reduce delays
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int limit = tcp_user_timeout_ms;
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit)));
}

void append_header(std::string& target, std::size_t size) {
    for (std::size_t byte = 0; byte < header_bytes; ++byte) {
        target += static_cast<char>((size >> (8U * byte)) & 0xffU);
    }
}

std::size_t read_header(const std::string& bytes, std::size_t offset) {
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < header_bytes; ++byte) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[offset + byte])) << (8U * byte);
    }
    return size;
}

/// Chooses the own address of an outgoing connection.
void bind_source(asio::ip::tcp::socket& socket, std::uint32_t ip) {
    boost::system::error_code ignored; // the peer then takes this process for a stranger
    socket.open(asio::ip::tcp::v4(), ignored);
    // The port that the kernel chooses may be one on which a process listens later.
    socket.set_option(asio::socket_base::reuse_address(true), ignored);
    socket.bind({asio::ip::address_v4(ip), 0}, ignored);
}

} // namespace

struct frame_socket::impl {
    impl(event_loop& owner, asio::ip::tcp::socket connected) : loop(owner), socket(std::move(connected)) {}

    event_loop& loop;
    asio::ip::tcp::socket socket;
    frame_handler on_frame;
    std::function<void()> on_closed;
    std::vector<char> buffer = std::vector<char>(first_read_bytes);
    frame_limits limits;
    std::optional<memory_account> memory; ///< nothing where the peer's memory is not counted
    time_point held_since{};              ///< when the oldest bytes that are held arrived
    std::string received;
    std::string write_buffer;
    std::string pending; ///< frames that are sent after `write_buffer`
    bool is_writing = false;
};

frame_socket::frame_socket(std::unique_ptr<impl> connected) : m_impl(std::move(connected)) {
    set_options(m_impl->socket);
}

frame_socket::~frame_socket() = default;

void frame_socket::start(frame_handler on_frame, std::function<void()> on_closed) {
    m_impl->on_frame = std::move(on_frame);
    m_impl->on_closed = std::move(on_closed);
    read();
}

void frame_socket::read() {
    m_impl->socket.async_read_some(
        asio::buffer(m_impl->buffer),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            if (!self->is_open()) {
                return; // closed after these bytes had been read
            }
            if (error) {
                self->close_and_notify();
                return;
            }
            self->on_bytes(count);
        });
}

void frame_socket::limit(const frame_limits& limits, memory_budget& budget) {
    m_impl->limits = limits;
    m_impl->memory.emplace(budget, endpoint_kind::link, [this] { close_and_notify(); });
}

void frame_socket::lift_limits() {
    m_impl->limits = {};
    m_impl->memory.reset();
}

std::uint32_t frame_socket::get_peer_ip() const {
    boost::system::error_code error;
    const auto peer = m_impl->socket.remote_endpoint(error);
    return error ? 0 : peer.address().to_v4().to_uint();
}

void frame_socket::on_bytes(std::size_t count) {
    auto& buffer = m_impl->buffer;
    m_impl->received.append(buffer.data(), count);
    if (count == buffer.size() && count < max_read_bytes) {
        buffer.resize(std::min(2 * buffer.size(), max_read_bytes));
    }
    if (handle_frames() && hold_memory()) {
        read();
    }
}

bool frame_socket::handle_frames() {
    auto& bytes = m_impl->received;
    std::size_t offset = 0;
    while (bytes.size() - offset >= header_bytes) {
        const auto size = read_header(bytes, offset);
        if (size > m_impl->limits.max_frame) {
            close_and_notify();
            return false;
        }
        if (bytes.size() - offset - header_bytes < size) {
            break;
        }
        const auto frame = bytes.substr(offset + header_bytes, size);
        offset += header_bytes + size;
        if (m_impl->on_frame) {
            m_impl->on_frame(frame);
        }
        if (!m_impl->socket.is_open()) {
            return false; // the handler closed it
        }
    }
    bytes.erase(0, offset);
    if (bytes.empty() && bytes.capacity() > max_read_bytes) {
        bytes.shrink_to_fit();
    }
    return true;
}

bool frame_socket::hold_memory() {
    if (!m_impl->memory.has_value() || !m_impl->socket.is_open()) {
        return m_impl->socket.is_open();
    }
    const auto bytes =
        m_impl->received.capacity() + m_impl->pending.capacity() + m_impl->write_buffer.capacity();
    const bool is_idle = m_impl->received.empty() && !m_impl->is_writing;
    if (is_idle) {
        m_impl->memory->release();
        m_impl->held_since = {};
        return true;
    }
    if (m_impl->held_since == time_point{}) {
        m_impl->held_since = m_impl->loop.now();
    }
    m_impl->memory->hold_message(bytes, m_impl->held_since);
    return m_impl->socket.is_open();
}

bool frame_socket::send(const std::string& frame) {
    if (!m_impl->socket.is_open()) {
        return false;
    }
    if (m_impl->pending.size() + frame.size() > m_impl->limits.max_unsent) {
        close_and_notify();
        return false;
    }
    append_header(m_impl->pending, frame.size());
    m_impl->pending += frame;
    if (!m_impl->is_writing) {
        m_impl->is_writing = true;
        // Frames sent in the same iteration share one write.
        m_impl->loop.post([self = shared_from_this()] { self->write(); });
    }
    return hold_memory();
}

void frame_socket::write() {
    if (!m_impl->socket.is_open() || m_impl->pending.empty()) {
        m_impl->is_writing = false;
        return;
    }
    m_impl->write_buffer.swap(m_impl->pending);
    m_impl->pending.clear();
    asio::async_write(m_impl->socket, asio::buffer(m_impl->write_buffer),
                      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                          if (error) {
                              self->close_and_notify();
                              return;
                          }
                          self->on_written();
                      });
}

void frame_socket::on_written() {
    auto& written = m_impl->write_buffer;
    written.clear();
    if (written.capacity() > max_read_bytes) {
        written.shrink_to_fit();
    }
    write();
    hold_memory();
}

void frame_socket::close_and_notify() {
    const auto self = shared_from_this(); // the handler may drop the last other reference
    const auto work = std::move(m_impl->on_closed);
    close();
    if (work) {
        work();
    }
}

void frame_socket::close() {
    boost::system::error_code ignored; // it is closed in any case
    m_impl->socket.close(ignored);
    if (m_impl->memory.has_value()) {
        m_impl->memory->release();
    }
    m_impl->on_closed = nullptr;
    // The frame handler may be running, so it is destroyed in a later handler.
    m_impl->loop.post([self = shared_from_this()] { self->m_impl->on_frame = nullptr; });
}

bool frame_socket::is_open() const {
    return m_impl->socket.is_open();
}

struct frame_listener::impl {
    impl(event_loop& owner, std::string address, int listen_port, accept_handler work)
        : loop(owner), host(std::move(address)), port(listen_port), on_accept(std::move(work)),
          acceptor(owner.get_context()) {}

    event_loop& loop;
    std::string host;
    int port;
    accept_handler on_accept;
    asio::ip::tcp::acceptor acceptor;

    static void accept(const std::shared_ptr<impl>& self) {
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
                    std::make_unique<frame_socket::impl>(self->loop, std::move(socket))));
                accept(self);
            });
    }
};

frame_listener::frame_listener(event_loop& loop, std::string host, int port, accept_handler on_accept)
    : m_impl(std::make_shared<impl>(loop, std::move(host), port, std::move(on_accept))) {}

frame_listener::~frame_listener() {
    boost::system::error_code ignored; // it is closed in any case
    m_impl->acceptor.close(ignored);
}

int frame_listener::start() {
    auto& acceptor = m_impl->acceptor;
    if (!start_listening(acceptor, m_impl->host, m_impl->port, listen_backlog, kernel_buffer_bytes)) {
        return 0;
    }
    impl::accept(m_impl);
    return acceptor.local_endpoint().port();
}

void connect_frame_socket(event_loop& loop, const std::string& address, duration timeout,
                          std::function<void(std::shared_ptr<frame_socket>)> on_done,
                          std::uint32_t source_ip) {
    const auto target = parse_socket_address(address);
    if (!target.has_value()) {
        loop.post([on_done = std::move(on_done)] { on_done(nullptr); });
        return;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(loop.get_context());
    if (source_ip != 0) {
        bind_source(*socket, source_ip);
    }
    const auto timer = loop.call_after(timeout, [socket] {
        boost::system::error_code ignored; // closing makes the connect operation fail
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
            std::make_shared<frame_socket>(std::make_unique<frame_socket::impl>(loop, std::move(*socket))));
    });
}

} // namespace poplarpitch
