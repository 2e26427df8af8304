#include "unit_tests/support/client_crowd.h"

#include "poplarpitch/net/socket_address.h"

#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace poplarpitch {
namespace {

constexpr std::size_t part_bytes = 64U << 10; // sent on one connection in a turn
constexpr int receive_buffer = 4096;
constexpr int max_idle_turns = 50; // turns without progress that end `send_all`: one second
constexpr absl::Duration idle_turn_pause = absl::Milliseconds(20);

int open_connection(const std::string& address) {
    const auto parsed = parse_socket_address(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!parsed.has_value() || socket < 0) {
        return -1;
    }
    // The less the clients' side keeps of the answers, the sooner the peer can write no more.
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(parsed->port);
    peer.sin_addr.s_addr = htonl(parsed->ip);
    sockaddr generic{};
    std::memcpy(&generic, &peer, sizeof generic);
    if (::connect(socket, &generic, sizeof generic) != 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

bool is_closed_by_peer(int socket) {
    pollfd state{socket, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

client_crowd::client_crowd(const std::string& address, int connections, const crowd_message& message) {
    const auto shared = std::make_shared<const crowd_message>(message);
    for (int number = 0; number < connections; ++number) {
        add(address, shared);
    }
}

client_crowd::client_crowd(const std::string& address, int connections,
                           const std::function<crowd_message(int)>& make_message) {
    for (int number = 0; number < connections; ++number) {
        add(address, std::make_shared<const crowd_message>(make_message(number)));
    }
}

void client_crowd::add(const std::string& address, const std::shared_ptr<const crowd_message>& message) {
    if (const int socket = open_connection(address); socket >= 0) {
        m_members.push_back({socket, message});
    }
}

client_crowd::~client_crowd() {
    for (const auto& item : m_members) {
        ::close(item.socket);
    }
}

void client_crowd::send_all(const std::function<void()>& observe) {
    int idle_turns = 0;
    std::size_t last_unacknowledged = 0;
    while (idle_turns < max_idle_turns) {
        bool has_progress = false;
        for (auto& item : m_members) {
            has_progress = send_part(item) || has_progress;
        }
        remove_closed();
        const auto unacknowledged = count_unacknowledged();
        has_progress = has_progress || unacknowledged != last_unacknowledged;
        last_unacknowledged = unacknowledged;
        observe();
        idle_turns = has_progress ? 0 : idle_turns + 1;
        if (!has_progress) {
            absl::SleepFor(idle_turn_pause);
        }
    }
}

std::size_t client_crowd::count_unacknowledged() const {
    std::size_t total = 0;
    for (const auto& item : m_members) {
        int bytes = 0;
        ::ioctl(item.socket, SIOCOUTQ, &bytes);
        total += static_cast<std::size_t>(std::max(bytes, 0));
    }
    return total;
}

bool client_crowd::send_part(member& item) {
    const auto& opening = item.message->opening;
    const auto total = opening.size() + item.message->repeated_limit;
    if (item.sent >= total) {
        return false;
    }
    std::string part = item.sent < opening.size() ? opening.substr(item.sent, part_bytes) : std::string{};
    const auto& repeated = item.message->repeated;
    while (!repeated.empty() && part.size() < part_bytes) {
        const auto behind_opening = item.sent + part.size() - opening.size();
        part += repeated.substr(behind_opening % repeated.size(), part_bytes - part.size());
    }
    part.resize(std::min(part.size(), total - item.sent));
    const auto count = ::send(item.socket, part.data(), part.size(), MSG_NOSIGNAL);
    if (count < 0) {
        return false; // or closed, which `remove_closed` finds
    }
    item.sent += static_cast<std::size_t>(count);
    return true;
}

void client_crowd::remove_closed() {
    std::erase_if(m_members, [](const member& item) {
        const bool is_closed = is_closed_by_peer(item.socket);
        if (is_closed) {
            ::close(item.socket);
        }
        return is_closed;
    });
}

void raise_descriptor_limit() {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace poplarpitch
