#include "unit_tests/support/port_reservation.h"

#include "poplarpitch/transport/http_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplarpitch {
namespace {

/// Returns true when a process that does not know of the reservation can bind the port.
bool can_bind(int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int outcome = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::close(descriptor);
    return outcome == 0;
}

// Guards against a CI failure: an entry could not start because another test's connection had its port.
TEST(port_reservation_test, keeps_the_port_from_others_and_lets_the_daemon_listen) {
    const port_reservation reservation;
    EXPECT_FALSE(can_bind(reservation.get_port()));
    http_server_settings settings;
    settings.port = reservation.get_port();
    for (int start = 0; start < 2; ++start) { // a daemon may restart on its port
        http_server server(settings, [](const http_request&) { return http_response{}; });
        EXPECT_TRUE(server.start());
        http_server second(settings, [](const http_request&) { return http_response{}; });
        EXPECT_FALSE(second.start());
    }
}

} // namespace
} // namespace poplarpitch
