#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/net/http_call.h"
#include "poplarpitch/net/http_caller_settings.h"
#include "poplarpitch/net/http_caller_use.h"

#include <functional>
#include <memory>

namespace poplarpitch {

class event_loop;
class http_exchange;
class http_connections;

/// An HTTP/1.1 client on an event loop, by Boost.Beast, with a bounded pool of open connections.
///
/// An address gets one connection for a long call and one for all others, which wait behind each other; only
/// where an answer is overdue a second one is opened for them. Where all connections are in use, calls wait
/// by importance. Load pattern: thousands of workers with orders for each at the same moment, more than the
/// process has descriptors. A call that has not left when its time is over fails with `not_sent`.
///
/// A call on a reused connection that ends before the first byte of an answer is sent once more on a new one:
/// the other side closes idle connections whenever it likes. So it is for calls that may arrive twice. After
/// a timeout all idle connections to that address are dropped, since what made one silent may have reached
/// them all. Thread safety: the loop's thread, for all methods.
class http_caller {
public:
    using response_handler = std::function<void(result<http_response>)>;

    /// Precondition: `loop` outlives the caller.
    http_caller(event_loop& loop, const http_caller_settings& settings);
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    /// Sends a request; `on_response` is called once, in a later turn, unless the caller is destroyed before.
    void send(http_call call, response_handler on_response);
    /// Returns what is open now and what was used since the start.
    [[nodiscard]] http_caller_use get_use() const;

private:
    std::shared_ptr<http_connections> m_connections;
};

} // namespace poplarpitch
