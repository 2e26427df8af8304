#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/transport/http_server_settings.h"

#include <functional>
#include <memory>

namespace poplarpitch {

/// An HTTP/1.1 server based on cpp-httplib. It passes every request, once received completely, to one
/// handler.
class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    /// `handle` is called on many threads concurrently.
    http_server(const http_server_settings& settings, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds the address and serves requests on threads of its own. Returns the port. Precondition: called
    /// once. Thread safety: none.
    result<int> start();
    /// Stops accepting, waits for requests in progress and closes all connections. Thread safety: any thread.
    void stop();
    /// Returns the number of requests being handled. Thread safety: any thread.
    [[nodiscard]] int get_active() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace poplarpitch
