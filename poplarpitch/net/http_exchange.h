#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_call.h"
#include "poplarpitch/net/memory_account.h"
#include "poplarpitch/net/net_error.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace poplarpitch {

class http_connections;

/// One HTTP call in progress. It waits for a connection, connects if needed, writes the request and reads the
/// response. Thread safety: the loop's thread, for all methods.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    using response_handler = std::function<void(result<http_response>)>;
    using socket_ptr = std::unique_ptr<boost::asio::ip::tcp::socket>;

    /// Creates a call that is not started yet.
    http_exchange(std::shared_ptr<http_connections> owner, http_call call, response_handler on_response);

    /// Requests a connection and starts the call's timeout.
    void start();
    /// Continues with an open connection, or opens one if `socket` is null. Precondition: the call waits for
    /// a connection.
    void begin(socket_ptr socket);
    /// Ends the call with `not_sent`, because too many calls wait or it may use none of the open connections.
    void reject();
    /// Ends the call without calling its handler.
    void abandon();

    [[nodiscard]] const std::string& get_address() const { return m_call.address; }
    [[nodiscard]] call_priority get_priority() const { return m_call.priority; }
    [[nodiscard]] bool is_long_poll() const { return m_call.is_long_poll; }
    [[nodiscard]] bool uses_new_connection() const { return m_call.use_new_connection; }
    [[nodiscard]] std::optional<time_point> get_connection_opened_before() const {
        return m_call.connection_opened_before;
    }
    /// Returns when the connection of the call was opened.
    [[nodiscard]] time_point get_opened_at() const { return m_opened_at; }
    /// Sets when the connection that the call reuses was opened.
    void set_opened_at(time_point opened_at) { m_opened_at = opened_at; }
    /// Returns true when the call has ended.
    [[nodiscard]] bool is_finished() const { return m_stage == stage::finished; }
    /// Returns true if a response can still be expected before the timeout when the call is sent now. A call
    /// that is sent with less time left times out with an unknown outcome, which is worse than `not_sent`.
    [[nodiscard]] bool has_time_left() const;

private:
    enum class stage : std::uint8_t { waiting, connecting, sent, finished };

    void make_request();
    void connect();
    void on_connected(const boost::system::error_code& error);
    void write();
    void on_written(const boost::beast::error_code& error);
    /// Reads a part of the response.
    void read();
    void on_read(const boost::beast::error_code& error);
    void on_connection_lost();
    void on_timeout();
    void finish(result<http_response> response, socket_ptr reusable = nullptr);
    /// Ends the call because no connection could be opened.
    void fail_unsent() { finish(get_unsent_error(net_errc::unreachable)); }
    /// Returns the error of a call whose last attempt was not sent: `unsent`, or `broken` if an earlier
    /// attempt was sent.
    [[nodiscard]] std::error_code get_unsent_error(net_errc unsent) const;
    void close_socket();

    std::shared_ptr<http_connections> m_connections;
    event_loop& m_loop;
    http_call m_call;
    response_handler m_on_response;
    socket_ptr m_socket;
    memory_account m_memory;
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    time_point m_deadline{};
    time_point m_opened_at{};
    time_point m_read_since{}; ///< when the request was written
    timer_id m_timer = 0;
    timer_id m_connect_timer = 0;
    stage m_stage = stage::waiting;
    bool m_is_reused = false;
    bool m_was_sent_before =
        false; ///< an earlier attempt was sent on a connection that has ended: it may have been executed
};

} // namespace poplarpitch
