#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {

/// A TCP relay on loopback that can stop forwarding on its open connections. They stay open but carry no more
/// data, like connections that a firewall has dropped from its state table. New connections work. Thread
/// safety: any thread, for all methods.
class silent_relay {
public:
    /// Relays to the loopback port `target_port`.
    explicit silent_relay(int target_port);
    ~silent_relay();
    silent_relay(const silent_relay&) = delete;
    silent_relay& operator=(const silent_relay&) = delete;

    [[nodiscard]] int get_port() const { return m_port; }
    /// Stops forwarding on all connections that are open now, permanently.
    void silence();
    /// Returns the total number of accepted connections.
    [[nodiscard]] int get_accepted_count() const { return m_accepted; }

private:
    struct connection {
        int client_socket = -1;
        int server_socket = -1;
        bool is_silent = false;
    };

    void run();
    void accept_one();
    /// Forwards the available data from one socket to the other. Returns false when the connection has ended.
    static bool forward(int from, int to);

    int m_target_port;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_is_stopped{false};
    std::atomic<int> m_accepted{0};
    absl::Mutex m_mutex;
    std::vector<connection> m_connections ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace poplarpitch
