#include "unit_tests/platform/raw_request.h"

#include "poplarpitch/net/socket_address.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace poplarpitch {
namespace {

constexpr timeval answer_timeout{5, 0};
constexpr std::size_t status_position = 9; // behind "HTTP/1.1 "
constexpr std::size_t status_length = 3;

/// Connects and sends the bytes of a request. Returns the socket, or -1 after an error.
int send_bytes(const std::string& address, const std::string& bytes) {
    const auto parsed = parse_socket_address(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!parsed.has_value() || socket < 0) {
        return -1;
    }
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &answer_timeout, sizeof answer_timeout);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(parsed->port);
    peer.sin_addr.s_addr = htonl(parsed->ip);
    sockaddr generic{};
    std::memcpy(&generic, &peer, sizeof generic);
    if (::connect(socket, &generic, sizeof generic) != 0 ||
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size())) {
        ::close(socket);
        return -1;
    }
    return socket;
}

} // namespace

int send_raw_request(const std::string& address, const std::string& bytes) {
    const int socket = send_bytes(address, bytes);
    if (socket < 0) {
        return 0;
    }
    std::array<char, 512> buffer{};
    const auto received = ::recv(socket, buffer.data(), buffer.size(), 0);
    ::close(socket);
    const std::string response(buffer.data(), received > 0 ? static_cast<std::size_t>(received) : 0);
    int status = 0;
    const bool has_status = response.size() >= status_position + status_length &&
                            absl::SimpleAtoi(response.substr(status_position, status_length), &status);
    return has_status ? status : 0;
}

void send_and_leave(const std::string& address, const std::string& bytes) {
    if (const int socket = send_bytes(address, bytes); socket >= 0) {
        ::close(socket);
    }
}

std::string make_raw_post(const std::string& target, const std::string& body) {
    return absl::StrCat("POST ", target,
                        " HTTP/1.1\r\nHost: mill.example\r\nContent-Type: application/json\r\n",
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
}

} // namespace poplarpitch
