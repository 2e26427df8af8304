#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/transport/http_exchange.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {

class http_cancel_token;

/// Timeouts and bounds of the pooled connections.
struct http_client_settings {
    duration max_idle_age =
        seconds{3}; ///< older idle connections are closed; below the peers' keep-alive of 5 s
    duration alive_window = milliseconds{500};    ///< a connection that answered within it counts as alive
    duration connect_timeout = milliseconds{500}; ///< below 1 s, after which a lost SYN is retransmitted
    std::size_t max_idle = 64;                    ///< idle connections kept per peer address
    std::int64_t max_body = 8LL << 20;            ///< bytes of the largest answer body

    friend auto operator<=>(const http_client_settings&, const http_client_settings&) = default;
};

/// Which connection a request may use. An idle connection may be dead without an error.
enum class connection_choice : std::uint8_t {
    pooled,      ///< any idle connection: the request can be retried
    known_alive, ///< one that answered within `alive_window`, or a new one: the request can be sent only once
    fresh,       ///< a new connection: pooled ones have just failed to answer
};

/// Pool of HTTP connections to targets and other entries. Each exchange uses a connection exclusively. A
/// connection that failed or timed out is closed, so an answer can never be returned for another request.
/// Thread safety: any thread, for all methods.
class http_client_pool {
public:
    explicit http_client_pool(const http_client_settings& settings);
    ~http_client_pool();
    http_client_pool(const http_client_pool&) = delete;
    http_client_pool& operator=(const http_client_pool&) = delete;

    /// Sends `request` to `address` (host:port) and waits for the whole answer, at most until `deadline`.
    /// Another thread may cancel the exchange through `cancel`, which may be null.
    http_exchange send(const std::string& address, const http_request& request, time_point deadline,
                       connection_choice choice, http_cancel_token* cancel = nullptr);
    /// Closes all idle connections to `address`. Called when the peer did not answer, as they may be dead.
    void drop(const std::string& address);

private:
    struct connection;

    std::unique_ptr<connection> take(const std::string& address, connection_choice choice, time_point now);
    void put_back(const std::string& address, std::unique_ptr<connection> used, time_point now);

    http_client_settings m_settings;
    absl::Mutex m_mutex;
    absl::flat_hash_map<std::string, std::vector<std::unique_ptr<connection>>>
        m_idle ABSL_GUARDED_BY(m_mutex);
};

} // namespace poplarpitch
