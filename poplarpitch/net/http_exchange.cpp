#include "poplarpitch/net/http_exchange.h"

#include "poplarpitch/net/http_connections.h"
#include "poplarpitch/net/net_error.h"
#include "poplarpitch/net/socket_address.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace poplarpitch {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::uint64_t max_response_bytes = 4U << 20; // the largest list of ended runs is far smaller
// A response's header, trailers and extensions of chunks, which the parser reads only when they are whole.
// The parser's own limit of a header is 8 KiB.
constexpr std::size_t max_unparsed_bytes = 64U << 10;
constexpr duration min_time_left = milliseconds{50}; // a response takes a few milliseconds
constexpr int min_time_divisor = 4;                  // for a call whose whole timeout is short: 1/4 of it

bool is_exhaustion(const boost::system::error_code& error) {
    return error == asio::error::no_descriptors ||
           error == boost::system::errc::too_many_files_open_in_system ||
           error == asio::error::no_buffer_space || error == asio::error::no_memory;
}

} // namespace

http_exchange::http_exchange(std::shared_ptr<http_connections> owner, http_call call,
                             response_handler on_response)
    : m_connections(std::move(owner)), m_loop(m_connections->get_loop()), m_call(std::move(call)),
      m_on_response(std::move(on_response)), m_memory(m_connections->get_budget(), endpoint_kind::calls,
                                                      [this] { finish(make_error_code(net_errc::broken)); }),
      m_buffer(max_unparsed_bytes) {}

void http_exchange::start() {
    m_deadline = m_loop.now() + m_call.timeout;
    m_timer = m_loop.call_at(m_deadline, [self = shared_from_this()] {
        self->m_timer = 0;
        self->on_timeout();
    });
    m_connections->request(shared_from_this());
}

bool http_exchange::has_time_left() const {
    return m_deadline - m_loop.now() >= std::min(min_time_left, m_call.timeout / min_time_divisor);
}

void http_exchange::begin(socket_ptr socket) {
    make_request();
    m_socket = std::move(socket);
    m_is_reused = m_socket != nullptr;
    if (m_is_reused) {
        write();
    } else {
        connect();
    }
}

void http_exchange::reject() {
    m_stage = stage::finished;
    m_loop.cancel(m_timer);
    m_loop.post([self = shared_from_this()] { self->m_on_response(make_error_code(net_errc::not_sent)); });
}

void http_exchange::abandon() {
    m_stage = stage::finished;
    m_on_response = nullptr;
    m_memory.release();
    m_loop.cancel(m_timer);
    m_loop.cancel(m_connect_timer);
    close_socket();
}

void http_exchange::make_request() {
    const auto& source = m_call.request;
    m_request.method(beast::http::string_to_verb(source.method));
    m_request.target(source.target);
    m_request.version(11);
    m_request.set(beast::http::field::host, m_call.address);
    for (const auto& header : source.headers.get_all()) {
        m_request.set(header.name, header.value);
    }
    if (!source.body.empty()) {
        m_request.set(beast::http::field::content_type, "application/json");
    }
    m_request.body() = source.body;
    m_request.prepare_payload();
}

void http_exchange::connect() {
    m_stage = stage::connecting;
    const auto endpoint = parse_socket_address(m_call.address);
    if (!endpoint.has_value()) {
        m_loop.post([self = shared_from_this()] { self->fail_unsent(); });
        return;
    }
    auto socket = std::make_unique<asio::ip::tcp::socket>(m_loop.get_context());
    boost::system::error_code error;
    socket->open(asio::ip::tcp::v4(), error);
    if (is_exhaustion(error)) {
        m_stage = stage::waiting;
        m_connections->on_exhausted(shared_from_this());
        return;
    }
    m_socket = std::move(socket);
    m_connections->on_open();
    m_connect_timer =
        m_loop.call_after(m_connections->get_settings().connect_timeout, [self = shared_from_this()] {
            self->m_connect_timer = 0;
            self->fail_unsent();
        });
    const asio::ip::tcp::endpoint target(asio::ip::address_v4(endpoint->ip), endpoint->port);
    m_socket->async_connect(target, [self = shared_from_this()](const boost::system::error_code& failed) {
        self->on_connected(failed);
    });
}

void http_exchange::on_connected(const boost::system::error_code& error) {
    if (is_finished()) {
        return;
    }
    m_loop.cancel(m_connect_timer);
    m_connect_timer = 0;
    const bool is_late = m_loop.now() >= m_deadline; // this process may have been suspended
    if (error || is_late) {
        fail_unsent();
        return;
    }
    m_opened_at = m_loop.now();
    boost::system::error_code ignored; // without the option requests are only delayed a little
    m_socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    write();
}

void http_exchange::write() {
    m_stage = stage::sent;
    beast::http::async_write(*m_socket, m_request,
                             [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                                 self->on_written(error);
                             });
}

void http_exchange::on_written(const beast::error_code& error) {
    if (is_finished()) {
        return;
    }
    if (error) {
        on_connection_lost();
        return;
    }
    m_parser.emplace();
    m_parser->body_limit(max_response_bytes);
    m_parser->eager(true);
    m_read_since = m_loop.now();
    read();
}

void http_exchange::read() {
    beast::http::async_read_some(
        *m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](const beast::error_code& failed, std::size_t) { self->on_read(failed); });
}

void http_exchange::on_read(const beast::error_code& error) {
    if (is_finished()) {
        return;
    }
    if (error) {
        on_connection_lost();
        return;
    }
    if (!m_parser->is_done()) {
        m_memory.hold_message(m_buffer.capacity() + m_parser->get().body().capacity(), m_read_since);
        if (!is_finished()) {
            read();
        }
        return;
    }
    auto message = m_parser->release();
    http_response response;
    response.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    response.body = std::move(message.body());
    response.was_retried = m_was_sent_before;
    finish(std::move(response), message.keep_alive() ? std::move(m_socket) : nullptr);
}

void http_exchange::on_connection_lost() {
    const bool has_no_response = !m_parser.has_value() || !m_parser->got_some();
    if (m_is_reused && has_no_response && !m_call.connection_opened_before.has_value()) {
        m_is_reused = false;
        m_was_sent_before = true;
        m_parser.reset();
        m_buffer.clear();
        close_socket();
        connect();
        return;
    }
    finish(make_error_code(net_errc::broken));
}

void http_exchange::on_timeout() {
    if (is_finished()) {
        return;
    }
    if (m_stage == stage::waiting) {
        m_stage = stage::finished;
        m_connections->on_wait_ended(true);
        m_connections->on_end(shared_from_this());
        m_on_response(get_unsent_error(net_errc::not_sent));
        return;
    }
    const bool was_sent = m_stage == stage::sent;
    m_connections->drop_idle(m_call.address);
    finish(was_sent ? make_error_code(net_errc::timed_out) : get_unsent_error(net_errc::unreachable));
}

std::error_code http_exchange::get_unsent_error(net_errc unsent) const {
    return make_error_code(m_was_sent_before ? net_errc::broken : unsent);
}

void http_exchange::finish(result<http_response> response, socket_ptr reusable) {
    if (is_finished()) {
        return;
    }
    m_stage = stage::finished;
    m_loop.cancel(m_timer);
    m_loop.cancel(m_connect_timer);
    close_socket();
    m_memory.release();
    const auto self = shared_from_this(); // the set of open calls may hold the last other reference
    m_connections->on_end(self);
    m_connections->release(*this, std::move(reusable));
    m_loop.post(
        [self, response = std::move(response)]() mutable { self->m_on_response(std::move(response)); });
}

void http_exchange::close_socket() {
    if (m_socket != nullptr) {
        boost::system::error_code ignored; // it is closed in any case
        m_socket->close(ignored);          // not destroyed: pending operations refer to it until they end
    }
}

} // namespace poplarpitch
