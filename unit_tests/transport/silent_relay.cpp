#include "unit_tests/support/silent_relay.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplarpitch {
namespace {

sockaddr_in make_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool is_readable(int descriptor) {
    pollfd item{descriptor, POLLIN, 0};
    return ::poll(&item, 1, 0) > 0;
}

} // namespace

silent_relay::silent_relay(int target_port)
    : m_target_port(target_port), m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto address = make_address(0);
    socklen_t size = sizeof(address);
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    constexpr int backlog = 16;
    if (::bind(m_listener, raw, size) == 0 && ::listen(m_listener, backlog) == 0 &&
        ::getsockname(m_listener, raw, &size) == 0) {
        m_port = ntohs(address.sin_port);
    }
    m_thread = std::thread([this] { run(); });
}

silent_relay::~silent_relay() {
    m_is_stopped = true;
    m_thread.join();
    ::close(m_listener);
    const absl::MutexLock lock(&m_mutex);
    for (const auto& pair : m_connections) {
        ::close(pair.client_socket);
        ::close(pair.server_socket);
    }
}

void silent_relay::silence() {
    const absl::MutexLock lock(&m_mutex);
    for (auto& pair : m_connections) {
        pair.is_silent = true;
    }
}

void silent_relay::accept_one() {
    connection pair;
    pair.client_socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    pair.server_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = make_address(m_target_port);
    if (::connect(pair.server_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(pair.client_socket);
        ::close(pair.server_socket);
        return;
    }
    ++m_accepted;
    const absl::MutexLock lock(&m_mutex);
    m_connections.push_back(pair);
}

bool silent_relay::forward(int from, int to) {
    std::array<char, 65536> bytes{};
    const auto size = ::recv(from, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    return ::send(to, bytes.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
}

void silent_relay::run() {
    constexpr int poll_interval_ms = 1; // no test depends on its length
    while (!m_is_stopped) {
        pollfd listener{m_listener, POLLIN, 0};
        if (::poll(&listener, 1, poll_interval_ms) > 0) {
            accept_one();
        }
        const absl::MutexLock lock(&m_mutex);
        for (auto pair = m_connections.begin(); pair != m_connections.end();) {
            bool is_open = true;
            if (!pair->is_silent && is_readable(pair->client_socket)) {
                is_open = forward(pair->client_socket, pair->server_socket);
            }
            if (!pair->is_silent && is_open && is_readable(pair->server_socket)) {
                is_open = forward(pair->server_socket, pair->client_socket);
            }
            if (is_open) {
                ++pair;
                continue;
            }
            ::close(pair->client_socket);
            ::close(pair->server_socket);
            pair = m_connections.erase(pair);
        }
    }
}

} // namespace poplarpitch
