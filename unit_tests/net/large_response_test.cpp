// Responses of workers and services that never end or are too large together.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/net/net_error.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t endless_bytes = 16U << 20; // far more than the buffers of both sockets
constexpr std::size_t body_bytes = 600'000;

/// A peer that sends the same bytes to each of `connections` callers, and closes the connections at the end.
class raw_server {
public:
    raw_server(int connections, std::string opening, std::size_t filler)
        : m_opening(std::move(opening)), m_filler(filler), m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        sockaddr generic{};
        std::memcpy(&generic, &address, sizeof generic);
        EXPECT_EQ(::bind(m_listener, &generic, sizeof generic), 0);
        EXPECT_EQ(::listen(m_listener, connections), 0);
        ::getsockname(m_listener, &generic, &size);
        std::memcpy(&address, &generic, sizeof address);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, connections] {
            for (int number = 0; number < connections; ++number) {
                serve();
            }
        });
    }
    ~raw_server() {
        m_thread.join();
        for (const int socket : m_sockets) {
            ::close(socket);
        }
        ::close(m_listener);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] std::string get_address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void serve() {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        m_sockets.push_back(socket);
        std::array<char, 1024> request{};
        ::recv(socket, request.data(), request.size(), 0);
        const std::string part(65'536, 'x');
        bool is_open = ::send(socket, m_opening.data(), m_opening.size(), MSG_NOSIGNAL) >= 0;
        for (std::size_t sent = 0; is_open && sent < m_filler; sent += part.size()) {
            const auto size = std::min(part.size(), m_filler - sent);
            is_open = ::send(socket, part.data(), size, MSG_NOSIGNAL) >= 0;
        }
    }

    std::string m_opening;
    std::size_t m_filler;
    int m_listener;
    int m_port = 0;
    std::vector<int> m_sockets;
    std::thread m_thread;
};

http_call make_call(const std::string& address) {
    http_call call;
    call.address = address;
    call.request.method = "GET";
    call.request.target = "/";
    call.timeout = seconds{5};
    return call;
}

// The buffer grew without a limit until the call's timeout.
TEST(large_response, ends_a_call_whose_response_has_endless_trailers) {
    event_loop loop;
    http_caller caller(loop, http_caller_settings{});
    const raw_server server(1,
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", endless_bytes);
    std::error_code outcome;
    loop.post([&] {
        caller.send(make_call(server.get_address()), [&](const result<http_response>& response) {
            outcome = response ? std::error_code{} : response.error();
            loop.stop();
        });
    });
    loop.run();
    EXPECT_EQ(outcome, make_error_code(net_errc::broken));
}

// Each response was inside its limit of 4 MiB, and all together had none.
TEST(large_response, ends_the_oldest_call_when_responses_take_too_much_memory_together) {
    constexpr std::size_t memory_limit = 1U << 20;
    event_loop loop;
    memory_budget budget(memory_limit);
    http_caller caller(loop, budget, http_caller_settings{});
    const auto header = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes + 1) + "\r\n\r\n";
    const raw_server first(1, header, body_bytes);
    const raw_server second(1, header, body_bytes);
    std::optional<std::error_code> outcome;
    loop.post([&] {
        for (const auto& address : {first.get_address(), second.get_address()}) {
            caller.send(make_call(address), [&](const result<http_response>& response) {
                EXPECT_FALSE(response);
                outcome = outcome.value_or(response.error());
                loop.stop();
            });
        }
    });
    loop.run();
    EXPECT_EQ(outcome, make_error_code(net_errc::broken));
    EXPECT_GE(budget.get_held(), body_bytes) << "the other call goes on";
    EXPECT_LE(budget.get_held(), memory_limit);
}

} // namespace
} // namespace poplarpitch
