#include "poplarpitch/net/http_session.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_sessions.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace poplarpitch {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t first_read_bytes = 2U << 10;  // most requests arrive in one read
constexpr std::size_t max_read_bytes = 16U << 10;   // of a long request, for each system call
constexpr std::size_t kept_buffer_bytes = 4U << 10; // a larger buffer is released after its request
// Room of the buffer beyond a header: a header that is too long is found by the parser, not by the buffer.
constexpr std::size_t buffer_slack_bytes = 1U << 10;
// Bytes of a message for each byte of its body, in chunks of one byte.
constexpr std::size_t max_chunk_overhead = 8;
// Of a parsed header field beside its text. A header of many short fields takes far more memory than it has
// bytes.
constexpr std::size_t field_overhead_bytes = 80;
// Copies of a request while it is handled: as a message, in a frame, and in the buffer of the connection.
constexpr std::size_t request_copies = 3;
constexpr duration discard_timeout = seconds{2};        // for a refused client to stop sending
constexpr std::size_t max_discarded_bytes = 512U << 10; // of a refused request
constexpr duration retry_after_overload = seconds{1};

std::size_t get_max_buffer(const http_limits& limits) {
    return limits.max_header + buffer_slack_bytes;
}

} // namespace

http_session::http_session(std::shared_ptr<http_sessions> owner, asio::ip::tcp::socket socket)
    : m_owner(std::move(owner)), m_socket(std::move(socket)),
      m_memory(m_owner->get_budget(), m_owner->get_settings().kind,
               [this] { close_for(http_refusal::memory); }),
      m_since(m_owner->get_loop().now()) {}

void http_session::close() {
    if (m_state == state::closed) {
        return;
    }
    const auto self = shared_from_this(); // the owner may hold the last other reference
    boost::system::error_code ignored;    // it is closed in any case
    m_socket.close(ignored);
    m_memory.release();
    m_owner->on_closed(*this);
    m_state = state::closed;
}

void http_session::close_for(http_refusal reason) {
    m_owner->on_refused(reason);
    close();
}

void http_session::check_timeouts() {
    const auto& limits = m_state == state::reading ? m_limits : m_owner->get_settings().limits;
    const auto age = m_owner->get_loop().now() - m_since;
    switch (m_state) {
    case state::idle:
        if (age > limits.idle_timeout) {
            close_for(http_refusal::idle_timeout);
        }
        return;
    case state::reading:
        if (!m_parser->is_header_done() && age > limits.header_timeout) {
            refuse(408, http_refusal::header_timeout, "the header took too long");
        } else if (age > limits.header_timeout + limits.body_timeout) {
            refuse(408, http_refusal::body_timeout, "the body took too long");
        }
        return;
    case state::writing:
        if (age > limits.write_timeout) {
            close_for(http_refusal::write_timeout);
        }
        return;
    case state::discarding:
        if (age > discard_timeout) {
            close();
        }
        return;
    case state::handling:
    case state::closed:
        return;
    }
}

void http_session::close_unless_answering() {
    if (m_state != state::handling && m_state != state::writing) {
        close();
    }
}

void http_session::read() {
    m_parser.emplace();
    apply_limits();
    m_header_bytes = 0;
    m_message_bytes = m_buffer.size();
    m_field_bytes = 0;
    m_since = m_owner->get_loop().now();
    m_state = m_buffer.size() > 0 ? state::reading : state::idle;
    if (m_buffer.capacity() > kept_buffer_bytes) {
        m_buffer.shrink_to_fit();
    }
    if (m_buffer.size() > 0) {
        parse(); // a request that was sent behind the last one
    } else {
        m_memory.release();
        read_more();
    }
}

void http_session::apply_limits() {
    m_limits = m_owner->get_settings().limits;
    m_parser->body_limit(m_limits.max_body);
    m_parser->header_limit(static_cast<std::uint32_t>(get_max_buffer(m_limits))); // `parse` is more exact
}

void http_session::read_more() {
    const auto size = m_buffer.size();
    const auto max_size = get_max_buffer(m_limits);
    if (size >= max_size) {
        refuse(431, http_refusal::header_too_large, "the header or a trailer is larger than allowed");
        return;
    }
    m_is_reading = true;
    const auto wanted = m_message_bytes == 0 ? first_read_bytes : max_read_bytes;
    m_socket.async_read_some(
        m_buffer.prepare(std::min(wanted, max_size - size)),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            self->on_bytes(error, count);
        });
}

void http_session::on_bytes(const boost::system::error_code& error, std::size_t count) {
    m_is_reading = false;
    if (m_state == state::discarding) {
        m_discarded_bytes += count;
        discard();
        return;
    }
    if (m_state != state::idle && m_state != state::reading) {
        return; // closed, or refused while the read was in progress
    }
    if (error) {
        close();
        return;
    }
    if (m_state == state::idle) {
        m_since = m_owner->get_loop().now();
        m_state = state::reading;
        apply_limits();
    }
    m_owner->on_moved(*this);
    m_buffer.commit(count);
    m_message_bytes += count;
    parse();
}

void http_session::parse() {
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        beast::error_code error;
        const bool is_header = !m_parser->is_header_done();
        m_parser->eager(!is_header); // a header is parsed part by part, so that its bytes can be counted
        const auto used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        m_header_bytes += is_header ? used : 0;
        if (m_header_bytes > m_limits.max_header) {
            error = beast::http::error::header_limit;
        }
        if (error == beast::http::error::need_more) {
            break;
        }
        if (error) {
            on_parse_error(error);
            return;
        }
    }
    if (m_parser->is_done()) {
        on_request();
    } else if (is_message_too_long()) {
        refuse(413, http_refusal::too_large, "the message is longer than its body allows");
    } else if (hold_message()) {
        read_more();
    }
}

bool http_session::hold_message() {
    const auto& message = m_parser->get();
    if (m_parser->is_header_done() && m_field_bytes == 0) {
        for (const auto& field : message) {
            m_field_bytes += field_overhead_bytes + field.name_string().size() + field.value().size();
        }
    }
    m_memory.hold_message(m_buffer.capacity() + m_field_bytes + message.body().capacity(), m_since);
    return m_state != state::closed;
}

bool http_session::is_message_too_long() const {
    return m_message_bytes > 2 * get_max_buffer(m_limits) + max_chunk_overhead * m_limits.max_body;
}

void http_session::discard() {
    boost::system::error_code error;
    std::array<char, max_read_bytes> dropped{};
    m_socket.non_blocking(true, error);
    while (!error && m_discarded_bytes < max_discarded_bytes) {
        const auto count = m_socket.read_some(asio::buffer(dropped), error);
        m_discarded_bytes += count;
    }
    const bool has_more_to_come = error == asio::error::would_block || error == asio::error::try_again;
    if (!has_more_to_come) {
        close();
        return;
    }
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& failed) {
                            if (!failed && self->m_state == state::discarding) {
                                self->discard();
                            }
                        });
}

void http_session::on_parse_error(const beast::error_code& error) {
    if (error == beast::http::error::body_limit) {
        refuse(413, http_refusal::too_large, "the body is larger than allowed");
    } else if (error == beast::http::error::header_limit) {
        refuse(431, http_refusal::header_too_large, "the header is larger than allowed");
    } else {
        refuse(400, http_refusal::malformed, "the request is not HTTP/1.1");
    }
}

void http_session::refuse(int status, http_refusal reason, const char* message) {
    m_owner->on_refused(reason);
    m_must_close = true;
    m_is_refused = true;
    answer_unhandled(make_error_response(status, get_name(reason), message));
}

void http_session::refuse_for_overload() {
    m_owner->on_refused(http_refusal::overloaded);
    auto response = make_error_response(503, get_name(http_refusal::overloaded),
                                        "not accepted: too many requests are open");
    response.headers.add("Retry-After", std::to_string(retry_after_overload / seconds{1}));
    m_must_close = !m_parser->keep_alive();
    answer_unhandled(std::move(response));
}

void http_session::answer_unhandled(http_response response) {
    m_owner->on_request();
    write(std::move(response));
}

bool http_session::is_abandoned() {
    if (m_owner->get_loop().get_read_delay() <= m_owner->get_settings().max_abandoned_wait) {
        return false;
    }
    char next = 0;
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::try_again;
}

void http_session::on_request() {
    if (is_abandoned()) {
        m_owner->on_abandoned();
        close();
        return;
    }
    const auto& parsed = m_parser->get();
    const auto request_bytes = request_copies * (parsed.target().size() + parsed.body().capacity());
    if (!m_memory.get_budget().has_room_for_request(request_bytes)) {
        refuse_for_overload();
        return;
    }
    m_memory.hold_request(request_bytes);
    m_owner->on_request();
    m_owner->on_handled(*this);
    m_state = state::handling;
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
    std::weak_ptr<http_session> weak = shared_from_this();
    m_owner->handle(std::move(request), [weak](http_response response) {
        if (const auto self = weak.lock()) {
            self->write(std::move(response));
        }
    });
}

void http_session::write(http_response response) {
    if (m_state == state::closed || m_state == state::writing) {
        return;
    }
    m_must_close = m_must_close || m_owner->is_draining();
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
    m_owner->on_moved(*this);
    m_state = state::writing;
    m_since = m_owner->get_loop().now();
    m_memory.hold_message(m_response->body().capacity(), m_since);
    if (m_state == state::closed) {
        m_owner->on_request_ended();
        return;
    }
    beast::http::async_write(m_socket, *m_response,
                             [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                                 self->on_written(error);
                             });
}

void http_session::on_written(const beast::error_code& error) {
    m_owner->on_request_ended();
    m_response.reset();
    if (m_state == state::closed) {
        return;
    }
    m_owner->on_moved(*this);
    if (!error && !m_must_close) {
        read();
        return;
    }
    boost::system::error_code ignored; // the peer may have closed it first
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (error || !m_is_refused) {
        close();
        return;
    }
    m_state = state::discarding;
    m_since = m_owner->get_loop().now();
    m_memory.release();
    if (!m_is_reading) {
        discard();
    }
}

} // namespace poplarpitch
