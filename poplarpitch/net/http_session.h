#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/net/http_limits.h"
#include "poplarpitch/net/http_refusal.h"
#include "poplarpitch/net/memory_account.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>

namespace poplarpitch {

class http_sessions;

/// One connection of an HTTP server. It reads a request, waits for the response, writes it, and reads the
/// next request.
///
/// It reads from the socket itself and gives the bytes to Beast's parser, which limits the header and the
/// body but neither trailers nor the extensions of chunks. Those stay in the buffer until they are whole, so
/// the buffer is limited, and so are all bytes of a message together. Thread safety: the loop's thread, for
/// all methods.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(std::shared_ptr<http_sessions> owner, boost::asio::ip::tcp::socket socket);

    /// Reads the first request.
    void start() { read(); }
    /// Closes the connection.
    void close();
    /// Closes the connection for this reason.
    void close_for(http_refusal reason);
    /// Refuses a request or closes the connection if a time limit has passed.
    void check_timeouts();
    /// Closes the connection unless a request is being handled or answered.
    void close_unless_answering();

private:
    friend class http_sessions;
    enum class state : std::uint8_t {
        idle,       ///< nothing of the next request has arrived
        reading,    ///< a part of a request has arrived
        handling,   ///< a whole request waits for its response
        writing,    ///< the response is being written
        discarding, ///< the request was refused before it was read whole; the rest is read and dropped
        closed,
    };
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Begins to read a request.
    void read();
    /// Takes over the limits that hold now for the request that begins.
    void apply_limits();
    /// Holds the memory of the request that is being read. Returns false when that closes the connection.
    [[nodiscard]] bool hold_message();
    /// Reads more bytes of the request.
    void read_more();
    void on_bytes(const boost::system::error_code& error, std::size_t count);
    /// Parses what the buffer holds.
    void parse();
    /// Returns true when the message is longer than any that keeps to the limits.
    [[nodiscard]] bool is_message_too_long() const;
    /// Reads what a client still sends of a refused request. Closing the connection with unread bytes would
    /// reset it, and the client might not get the response.
    void discard();
    void on_parse_error(const boost::beast::error_code& error);
    /// Answers a request that was not read whole, and closes the connection.
    void refuse(int status, http_refusal reason, const char* message);
    /// Answers a whole request that is not passed on for want of memory.
    void refuse_for_overload();
    void answer_unhandled(http_response response);
    void on_request();
    /// Returns true when the request may have waited for long and its client has closed the connection
    /// meanwhile.
    [[nodiscard]] bool is_abandoned();
    void write(http_response response);
    void on_written(const boost::beast::error_code& error);

    std::shared_ptr<http_sessions> m_owner;
    boost::asio::ip::tcp::socket m_socket;
    memory_account m_memory;
    boost::beast::flat_buffer m_buffer; ///< bytes that are not parsed yet
    std::size_t m_message_bytes = 0;    ///< received of the request that is being read
    std::size_t m_header_bytes = 0;     ///< parsed of its header
    http_limits m_limits;               ///< that hold for the request that is being read
    std::optional<request_parser> m_parser;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> m_response;
    unsigned m_version = 11;
    bool m_must_close = false;
    bool m_is_refused = false; ///< the response answers a request that was not read whole
    bool m_is_reading = false; ///< a read of the socket is in progress
    std::size_t m_discarded_bytes = 0;
    std::size_t m_field_bytes = 0; ///< memory of the parsed header of the request that is being read
    state m_state = state::idle;
    std::list<std::shared_ptr<http_session>>::iterator m_position; ///< in the owner's lists
    time_point m_since; ///< when the connection became idle, or its request or response began
};

} // namespace poplarpitch
