#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/net/call_priority.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller_settings.h"
#include "poplarpitch/net/http_caller_stats.h"

#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {

class http_exchange;
class memory_budget;

/// The connection pool of an HTTP client. It assigns connections to calls and queues the calls that wait.
///
/// The limit on all connections keeps the process below its limit of file descriptors. Load pattern: 1,800
/// workers at 6,424 descriptors. Without a limit each order that fails because no descriptor is left is
/// repeated and requests a new connection, 48,000 times a second, until the leases expire. Thread safety: the
/// loop's thread, for all methods.
class http_connections : public std::enable_shared_from_this<http_connections> {
public:
    using socket_ptr = std::unique_ptr<boost::asio::ip::tcp::socket>;

    /// Precondition: `loop` and `budget` outlive the object.
    http_connections(event_loop& loop, memory_budget& budget, const http_caller_settings& settings);

    /// Assigns a connection to the call (`http_exchange::begin`), queues the call until one is free, or
    /// rejects it if too many calls wait (`http_exchange::reject`).
    void request(const std::shared_ptr<http_exchange>& exchange);
    /// Releases the connection of a call. A `socket` that is not null is kept open for later calls.
    void release(http_exchange& exchange, socket_ptr socket);
    /// Called when a queued call stops waiting without having been started.
    void on_wait_ended(bool was_not_sent);
    /// Called when no file descriptor was left for the connection of `exchange`. Queues it again.
    void on_exhausted(const std::shared_ptr<http_exchange>& exchange);
    /// Counts a connection that is being opened.
    void on_open() { ++m_opened; }
    /// Closes all idle connections to an address.
    void drop_idle(const std::string& address);
    /// Called when a call has ended.
    void on_end(const std::shared_ptr<http_exchange>& exchange) { m_exchanges.erase(exchange); }
    /// Ends all calls without calling their handlers, and closes all connections.
    void abandon_all();

    [[nodiscard]] event_loop& get_loop() const { return m_loop; }
    [[nodiscard]] memory_budget& get_budget() const { return m_budget; }
    [[nodiscard]] const http_caller_settings& get_settings() const { return m_settings; }
    /// Returns the current connection counts and the totals since the start.
    [[nodiscard]] http_caller_stats get_stats() const;

private:
    struct idle_connection {
        std::string address;
        socket_ptr socket;
        time_point idle_since{};
        time_point opened_at{};
    };
    using idle_list = std::list<idle_connection>;
    using wait_queue = std::deque<std::shared_ptr<http_exchange>>;
    struct peer {
        std::vector<idle_list::iterator> idle;               ///< newest last
        std::size_t short_calls = 0;                         ///< in progress
        std::size_t long_calls = 0;                          ///< in progress
        time_point last_short_call_at{};                     ///< when the last short call was started
        std::array<wait_queue, call_priority_count> waiting; ///< short calls, by priority
        wait_queue waiting_long_calls;
        std::array<bool, call_priority_count> starved{}; ///< the address is in `m_starved`
        timer_id second_connection_timer = 0;            ///< opens the second connection

        [[nodiscard]] bool has_waiting() const;
        [[nodiscard]] bool is_empty() const;
    };

    /// Starts the queued calls of an address for which connections are available.
    void serve(const std::string& address);
    [[nodiscard]] bool may_begin_short_call(const peer& item) const;
    /// Returns the queue whose first call may be started now, or null.
    wait_queue* find_ready_queue(peer& item);
    /// Starts the first call of `queue`. Returns false when no connection is available now.
    bool begin_first(const std::string& address, peer& item, wait_queue& queue);
    /// Returns an idle connection that the call may use, or null.
    socket_ptr take_idle(peer& item, http_exchange& exchange);
    /// Closes the oldest idle connection if the limit is reached. Returns true if a new one may be opened.
    [[nodiscard]] bool make_room();
    void close_oldest_idle();
    void close_expired_idle();
    /// Records that calls of this priority to `address` wait because no connection could be opened.
    void add_starved(const std::string& address, peer& item, call_priority priority);
    /// Serves the starved addresses while connections can be opened, by descending priority.
    void serve_starved();
    /// Schedules the second connection for short calls if calls wait and only one is in use.
    void arm_second_connection_timer(const std::string& address, peer& item);
    void erase_if_empty(const std::string& address);

    event_loop& m_loop;
    memory_budget& m_budget;
    http_caller_settings m_settings;
    idle_list m_idle; ///< oldest first
    absl::node_hash_map<std::string, peer> m_peers;
    absl::flat_hash_set<std::shared_ptr<http_exchange>> m_exchanges;
    /// Addresses that wait for a connection, by priority.
    std::array<std::deque<std::string>, call_priority_count> m_starved;
    std::size_t m_connections = 0;
    std::size_t m_waiting = 0;
    std::uint64_t m_opened = 0;
    std::uint64_t m_not_sent = 0;
    std::uint64_t m_exhausted = 0;
    time_point m_exhausted_until{};
};

} // namespace poplarpitch
