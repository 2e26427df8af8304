#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

using steady = std::chrono::steady_clock;

sockaddr_in make_address(const endpoint& at) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

bool write_all(int socket, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

void read_header_line(const std::string& line, http_message& message) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
        return;
    }
    const auto start = line.find_first_not_of(' ', colon + 1);
    message.headers[to_lower(line.substr(0, colon))] =
        start == std::string::npos ? std::string{} : line.substr(start);
}

void read_first_line(const std::string& line, http_message& message) {
    const auto space = line.find(' ');
    const auto second = line.find(' ', space + 1);
    if (line.starts_with("HTTP/")) {
        message.status = std::atoi(line.substr(space + 1).c_str());
        return;
    }
    message.method = line.substr(0, space);
    message.target = line.substr(space + 1, second - space - 1);
}

http_message read_head(const std::string& head) {
    http_message message;
    std::size_t start = 0;
    bool is_first = true;
    while (start < head.size()) {
        const auto end = std::min(head.find("\r\n", start), head.size());
        const auto line = head.substr(start, end - start);
        is_first ? read_first_line(line, message) : read_header_line(line, message);
        is_first = false;
        start = end + 2;
    }
    return message;
}

/// Reads one message with a known length. Returns nothing at the end of the connection or at the deadline.
std::optional<http_message> read_message(int socket, std::string& buffer, steady::time_point deadline) {
    while (true) {
        const auto head_end = buffer.find("\r\n\r\n");
        if (head_end != std::string::npos) {
            auto message = read_head(buffer.substr(0, head_end));
            const auto length = message.headers.find("content-length");
            const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
            if (buffer.size() >= head_end + 4 + size) {
                message.body = buffer.substr(head_end + 4, size);
                buffer.erase(0, head_end + 4 + size);
                return message;
            }
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady::now()).count();
        pollfd item{socket, POLLIN, 0};
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(std::min<long long>(left, 1'000'000))) <= 0) {
            return std::nullopt;
        }
        char bytes[16384];
        const auto count = ::recv(socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return std::nullopt;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

std::string write_message(const http_message& message) {
    std::string text = message.status == 0 ? message.method + " " + message.target + " HTTP/1.1\r\n"
                                           : "HTTP/1.1 " + std::to_string(message.status) + " X\r\n";
    for (const auto& [name, value] : message.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!message.body.empty()) {
        text += "content-type: application/json\r\n";
    }
    return text + "content-length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

bool connect_within(int socket, const endpoint& to, int timeout_ms) {
    timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000L};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const auto address = make_address(to);
    return ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

} // namespace

endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.find(':');
    return {text.substr(0, colon), std::atoi(text.substr(colon + 1).c_str())};
}

std::string format_endpoint(const endpoint& address) {
    return address.ip + ":" + std::to_string(address.port);
}

int find_free_port(const std::vector<std::string>& ips) {
    constexpr int first_port = 20'000;
    constexpr int port_count = 10'000;
    const auto start = static_cast<int>(::getpid()) * 37;
    for (int number = 0; number < port_count; ++number) {
        const int port = first_port + (start + number) % port_count;
        const bool is_free = std::all_of(ips.begin(), ips.end(), [port](const std::string& ip) {
            const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
            const auto address = make_address({ip, port});
            const bool is_bound =
                ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
            ::close(socket);
            return is_bound;
        });
        static std::set<int> given;
        if (is_free && given.insert(port).second) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

std::optional<http_message> call(const endpoint& to, const http_message& request, int timeout_ms) {
    const auto deadline = steady::now() + std::chrono::milliseconds(timeout_ms);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    std::optional<http_message> answer;
    if (connect_within(socket, to, timeout_ms)) {
        auto full = request;
        full.headers.try_emplace("host", format_endpoint(to));
        full.headers["connection"] = "close";
        std::string buffer;
        if (write_all(socket, write_message(full))) {
            answer = read_message(socket, buffer, deadline);
        }
    }
    ::close(socket);
    return answer;
}

struct http_server::shared_state {
    handler handle;
    std::mutex mutex;
    std::set<int> sockets; ///< of the open connections
    bool is_closed = false;
};

http_server::http_server(const endpoint& at, handler handle) : m_state(std::make_shared<shared_state>()) {
    m_state->handle = std::move(handle);
    m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = make_address(at);
    const bool is_bound =
        ::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    if (!is_bound || ::listen(m_listener, 256) != 0) {
        throw std::runtime_error("cannot listen at " + format_endpoint(at));
    }
    m_thread = std::thread([state = m_state, listener = m_listener] { accept_all(state, listener); });
}

http_server::~http_server() {
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->is_closed = true;
        for (const int socket : m_state->sockets) {
            const linger reset{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
}

void http_server::accept_all(const std::shared_ptr<shared_state>& state, int listener) {
    while (true) {
        const int socket = ::accept(listener, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard lock(state->mutex);
        if (state->is_closed) {
            ::close(socket);
            return;
        }
        state->sockets.insert(socket);
        std::thread([state, socket] { serve(state, socket); }).detach();
    }
}

void http_server::serve(const std::shared_ptr<shared_state>& state, int socket) {
    std::string buffer;
    while (true) {
        const auto request = read_message(socket, buffer, steady::now() + std::chrono::hours(1));
        if (!request.has_value()) {
            break;
        }
        const auto answer = state->handle(*request);
        {
            const std::lock_guard lock(state->mutex);
            if (state->is_closed) {
                break;
            }
        }
        if (!write_all(socket, write_message(answer))) {
            break;
        }
    }
    const std::lock_guard lock(state->mutex);
    state->sockets.erase(socket);
    ::close(socket);
}

} // namespace review
