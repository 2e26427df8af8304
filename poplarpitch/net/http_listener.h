#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace poplarpitch {

class event_loop;

/// Where to listen and what to bear.
struct http_listener_settings {
    std::string host = "127.0.0.1";
    int port = 0;                         ///< 0 takes a free one
    std::size_t max_body = 1U << 20;      ///< bytes of a request; a larger one gets 413
    std::size_t max_connections = 3000;   ///< below the descriptors of the smallest entry instance (4,100)
    duration idle_timeout = seconds{30};  ///< an idle connection is closed after this
    duration sweep_interval = seconds{2}; ///< how often idle connections are looked for

    friend bool operator==(const http_listener_settings&, const http_listener_settings&) = default;
};

/// Sends the answer to one request. Called once; a connection that is gone by then drops the answer.
using http_responder = std::function<void(http_response)>;

/// An HTTP/1.1 server on an event loop, by Boost.Beast. The requests of one connection are answered in order.
///
/// cpp-httplib holds a thread for each connection and looks at an idle one 100 times a second, which costs
/// 0.1% of a core; here an idle connection costs nothing. Thread safety: the loop's thread, for all methods.
class http_listener {
public:
    using request_handler = std::function<void(http_request, http_responder)>;

    /// Precondition: `loop` outlives the listener.
    http_listener(event_loop& loop, const http_listener_settings& settings, request_handler handler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Listens. Returns the port.
    result<int> start();
    /// Closes each connection behind its next answer; goes on taking new ones.
    void close_after_answers();
    /// Takes no new connections, closes idle ones, and the others behind the answer they wait for.
    void drain();
    /// Returns how many requests have no answer yet.
    [[nodiscard]] std::size_t get_open_requests() const;
    /// Returns how many connections are open.
    [[nodiscard]] std::size_t get_connections() const;

private:
    struct impl;
    class session;

    std::shared_ptr<impl> m_impl;
};

} // namespace poplarpitch
