#include "unit_tests/platform/silent_port.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <filesystem>

namespace poplarpitch {
namespace {

bool is_bound_to(int descriptor, int port) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    return ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
           address.sin_family == AF_INET && ntohs(address.sin_port) == port;
}

/// Attaches a packet filter that accepts no byte. A listening socket passes it on to accepted connections.
void drop_all_packets(int descriptor) {
    sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop};
    EXPECT_EQ(::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)), 0);
}

} // namespace

void silence_port(int port) {
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::atoi(entry.path().filename().c_str());
        if (is_bound_to(descriptor, port)) {
            drop_all_packets(descriptor);
        }
    }
}

} // namespace poplarpitch
