#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/net/http_call.h"
#include "poplarpitch/net/http_caller_settings.h"
#include "poplarpitch/net/http_caller_stats.h"

#include <functional>
#include <memory>

namespace poplarpitch {

class event_loop;
class http_exchange;
class http_connections;
class memory_budget;

/// An HTTP/1.1 client on an event loop, based on Boost.Beast, with a bounded connection pool.
///
/// Each address gets one connection for a long call and one for the short calls, which are queued and sent
/// one after the other. A second connection for short calls is opened only when a response is overdue. When
/// all connections are in use, calls wait in order of priority. Load pattern: thousands of workers that all
/// get orders at the same moment, more than the process has file descriptors. A call that was not sent before
/// its timeout fails with `not_sent`.
///
/// A call on a reused connection that is closed before the first byte of a response is sent once more on a
/// new connection, because a server may close idle connections at any time. The client is therefore only for
/// calls that may arrive twice. After a timeout all idle connections to that address are closed, since the
/// cause may have affected them all. Thread safety: the loop's thread, for all methods.
class http_caller {
public:
    /// Receives the response, or an error of `net_errc`.
    using response_handler = std::function<void(result<http_response>)>;

    /// Responses that are being read count against `budget`. Precondition: `loop` and `budget` outlive the
    /// caller.
    http_caller(event_loop& loop, memory_budget& budget, const http_caller_settings& settings);
    /// As above, with a budget of its own of 64 MiB.
    http_caller(event_loop& loop, const http_caller_settings& settings);
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    /// Sends a request. Calls `on_response` once, not before `send` has returned, unless the client is
    /// destroyed first.
    void send(http_call call, response_handler on_response);
    /// Returns the current connection counts and the totals since the start.
    [[nodiscard]] http_caller_stats get_stats() const;

private:
    std::unique_ptr<memory_budget> m_own_budget; ///< null where another one is used
    std::shared_ptr<http_connections> m_connections;
};

} // namespace poplarpitch
