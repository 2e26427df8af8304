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

/// Bounds of an HTTP client.
struct http_caller_settings {
    std::size_t max_idle_per_address = 4;         ///< more are closed after their answer
    duration max_idle = seconds{20};              ///< a connection idle for longer is not used again
    duration connect_timeout = milliseconds{800}; ///< a SYN lost on the way is sent again after one second

    friend bool operator==(const http_caller_settings&, const http_caller_settings&) = default;
};

/// What to ask whom.
struct http_call {
    std::string address; ///< IPv4 address and port, `10.0.0.4:8080`
    http_request request;
    duration timeout = seconds{1};
    bool is_fresh = false; ///< use a new connection: the open ones may have gone silent

    friend bool operator==(const http_call&, const http_call&) = default;
};

/// An HTTP/1.1 client on an event loop, by Boost.Beast, with a pool of open connections for each address.
///
/// A call on a reused connection that ends before the first byte of an answer is sent once more on a new one:
/// the other side closes idle connections whenever it likes. So it is for calls that may arrive twice. After
/// a timeout all idle connections to that address are dropped, since what made one silent may have reached
/// them all. Thread safety: the loop's thread, for all methods.
class http_caller {
public:
    using answer_handler = std::function<void(result<http_response>)>;

    /// Precondition: `loop` outlives the caller.
    http_caller(event_loop& loop, const http_caller_settings& settings);
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    /// Sends a request; `on_answer` is called once, in a later turn, unless the caller is destroyed before.
    void send(http_call call, answer_handler on_answer);
    /// Returns how many connections were opened since the start.
    [[nodiscard]] std::size_t get_opened() const;

private:
    struct parts;
    class exchange;

    std::shared_ptr<parts> m_parts;
};

} // namespace poplarpitch
