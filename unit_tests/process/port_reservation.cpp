#include "unit_tests/support/port_reservation.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplarpitch {

port_reservation::port_reservation() : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    EXPECT_EQ(::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(::bind(m_descriptor, raw, size), 0);
    EXPECT_EQ(::getsockname(m_descriptor, raw, &size), 0);
    m_port = ntohs(address.sin_port);
}

port_reservation::~port_reservation() {
    ::close(m_descriptor);
}

} // namespace poplarpitch
