#include "unit_tests/net/raw_client.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>

namespace poplarpitch {
namespace {

constexpr timeval socket_timeout{5, 0}; // only a failing test waits this long

} // namespace

int open_connection(int port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(port));
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sockaddr generic{};
    std::memcpy(&generic, &peer, sizeof generic);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &socket_timeout, sizeof socket_timeout);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &socket_timeout, sizeof socket_timeout);
    EXPECT_EQ(::connect(socket, &generic, sizeof generic), 0);
    return socket;
}

/// Returns the status of the response that comes, 0 when the connection ends without one, and nothing when
/// neither happens in time.
std::optional<int> read_status(int socket) {
    constexpr std::size_t status_position = 9; // behind "HTTP/1.1 "
    std::array<char, 512> buffer{};
    const auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EAGAIN) {
        return std::nullopt;
    }
    int status = 0;
    const std::string response(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    if (response.size() > status_position + 3) {
        EXPECT_TRUE(absl::SimpleAtoi(response.substr(status_position, 3), &status));
    }
    return status;
}

} // namespace poplarpitch
