#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/net/http_listener_settings.h"
#include "poplarpitch/net/http_refusal.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarpitch {

class event_loop;
class http_sessions;
class memory_budget;

/// Sends the response to one request. Called once. The response is dropped if the connection is closed by
/// then.
using http_responder = std::function<void(http_response)>;

/// An HTTP/1.1 server on an event loop, based on Boost.Beast. The requests of one connection are answered in
/// order.
///
/// cpp-httplib uses a thread for each connection and polls an idle connection 100 times a second, which costs
/// 0.1% of a core. Here an idle connection costs no processor time. Thread safety: the loop's thread, for all
/// methods.
class http_listener {
public:
    /// Called for each request. The handler may call the responder later.
    using request_handler = std::function<void(http_request, http_responder)>;

    /// The connections' memory counts against `budget`. Precondition: `loop` and `budget` outlive the
    /// listener.
    http_listener(event_loop& loop, memory_budget& budget, const http_listener_settings& settings,
                  request_handler handler);
    /// As above, with a budget of its own of 64 MiB.
    http_listener(event_loop& loop, const http_listener_settings& settings, request_handler handler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Starts to listen. Returns the port, or `net_errc::listen_failed`.
    result<int> start();
    /// Replaces the limits, for requests that begin from now on.
    void set_limits(const http_limits& limits);
    /// Closes each connection after its next response, but continues to accept new connections.
    void close_connections_after_responses();
    /// Stops accepting connections, closes idle ones, and closes the others after their pending response.
    void drain();
    /// Returns the number of requests without a response.
    [[nodiscard]] std::size_t get_open_requests() const;
    /// Returns the number of requests that were dropped because their clients had left.
    [[nodiscard]] std::uint64_t get_abandoned_requests() const;
    /// Returns how often requests were refused and connections were closed, by reason.
    [[nodiscard]] const http_refusal_counts& get_refusals() const;
    /// Returns the number of open connections.
    [[nodiscard]] std::size_t get_connections() const;

private:
    std::unique_ptr<memory_budget> m_own_budget; ///< null where another one is used
    std::shared_ptr<http_sessions> m_sessions;
};

} // namespace poplarpitch
