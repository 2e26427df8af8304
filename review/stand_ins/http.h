#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <mutex>

namespace review {

/// An HTTP/1.1 request or response. Names of headers are in lower case.
struct http_message {
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// An IPv4 address and a port.
struct endpoint {
    std::string ip;
    int port = 0;
};

/// Parses `ip:port`.
endpoint parse_endpoint(const std::string& text);
/// Returns `ip:port`.
std::string format_endpoint(const endpoint& address);
/// Returns a port that is free on each of these addresses at the moment.
int find_free_port(const std::vector<std::string>& ips);

/// Sends one request over a new connection. Returns nothing when no complete answer came in time.
std::optional<http_message> call(const endpoint& to, const http_message& request, int timeout_ms);

/// A blocking HTTP server with one thread for each connection.
class http_server {
public:
    using handler = std::function<http_message(const http_message&)>;

    /// Starts to listen. Precondition: the port is free.
    http_server(const endpoint& at, handler handle);
    /// Closes the listener and resets all connections, as the end of a process does.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct shared_state;
    static void accept_all(const std::shared_ptr<shared_state>& state, int listener);
    static void serve(const std::shared_ptr<shared_state>& state, int socket);

    std::shared_ptr<shared_state> m_state;
    int m_listener = -1;
    std::thread m_thread;
};

} // namespace review
