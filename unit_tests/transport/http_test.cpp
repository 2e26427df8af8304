#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/transport/http_cancel_token.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "poplarpitch/transport/http_server.h"
#include "poplarpitch/transport/transport_error.h"
#include "unit_tests/support/post_request.h"

#include <absl/synchronization/notification.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration test_timeout = seconds{20};

/// A server with the handler of the test, and a client pool to reach it.
class http_test : public testing::Test {
protected:
    void start(http_server::handler handle, const http_server_settings& settings = {}) {
        m_server = std::make_unique<http_server>(settings, std::move(handle));
        m_address = "127.0.0.1:" + std::to_string(m_server->start().value());
    }

    http_exchange send(const http_request& request, duration limit = test_timeout,
                       connection_choice choice = connection_choice::pooled) {
        return m_pool.send(m_address, request, system_clock().now() + limit, choice);
    }

    static http_response echo(const http_request& request) {
        http_response response;
        response.body = request.target + "|" + request.body;
        response.headers.add("X-Own", request.headers.get("X-Own"));
        return response;
    }

    // Declared before the server, because its handlers may use them until it has stopped.
    absl::Notification m_handler_entered; ///< a blocking handler was called
    absl::Notification m_release_handler; ///< the blocking handler may return
    std::unique_ptr<http_server> m_server;
    http_client_pool m_pool{http_client_settings{}};
    std::string m_address;
};

TEST_F(http_test, transfers_target_headers_and_body_unchanged) {
    start(echo);
    auto request = make_post("/a%20b/c?x=1&y=%2f", std::string(100'000, 'z'));
    request.headers.add("X-Own", "v");
    const auto exchange = send(request);
    ASSERT_EQ(exchange.progress, exchange_progress::answered);
    EXPECT_EQ(exchange.response.body, request.target + "|" + request.body);
    EXPECT_EQ(exchange.response.headers.get("x-own"), "v");
}

// Forwarded framing headers, in whatever case, would make the target read another body than was sent.
TEST_F(http_test, framing_headers_of_the_caller_are_not_passed_on) {
    start([](const http_request& request) {
        auto response = echo(request);
        response.headers.add("X-Seen", request.headers.get("te") + request.headers.get("expect"));
        return response;
    });
    auto request = make_post("/", "whole");
    request.headers.add("transfer-encoding", "chunked");
    request.headers.add("content-length", "3");
    request.headers.add("TE", "trailers");
    request.headers.add("expect", "100-continue");
    request.headers.add("content-type", "text/plain");
    const auto exchange = send(request);
    ASSERT_EQ(exchange.progress, exchange_progress::answered);
    EXPECT_EQ(exchange.response.body, "/|whole");
    EXPECT_EQ(exchange.response.headers.get("X-Seen"), "");
}

TEST_F(http_test, refuses_a_body_above_the_bound) {
    http_server_settings settings;
    settings.max_body = 1000;
    start(echo, settings);
    const auto exchange = send(make_post("/", std::string(2000, 'z')));
    ASSERT_EQ(exchange.progress, exchange_progress::answered);
    EXPECT_EQ(exchange.response.status, 413);
}

TEST_F(http_test, reports_not_sent_when_no_server_listens) {
    start(echo);
    m_server->stop();
    const auto exchange = send(make_post("/", ""));
    EXPECT_EQ(exchange.progress, exchange_progress::not_sent);
    EXPECT_EQ(exchange.error, make_error_code(transport_errc::unreachable));
}

TEST_F(http_test, late_answer_is_not_returned_for_another_request) {
    start([&](const http_request& request) {
        if (request.body == "slow") {
            m_release_handler.WaitForNotification();
        }
        return echo(request);
    });
    const auto late = send(make_post("/", "slow"), milliseconds{50});
    EXPECT_EQ(late.progress, exchange_progress::maybe_sent);
    m_release_handler.Notify();
    for (int index = 0; index < 20; ++index) {
        const auto body = std::to_string(index);
        EXPECT_EQ(send(make_post("/", body)).response.body, "/|" + body);
    }
}

TEST_F(http_test, exchange_can_be_cancelled) {
    start([&](const http_request& request) {
        m_handler_entered.Notify();
        m_release_handler.WaitForNotification();
        return echo(request);
    });
    http_cancel_token cancel;
    http_exchange exchange;
    std::thread caller([&] {
        exchange = m_pool.send(m_address, make_post("/", "x"), system_clock().now() + test_timeout,
                               connection_choice::pooled, &cancel);
    });
    m_handler_entered.WaitForNotification();
    cancel.cancel();
    caller.join(); // returns although no answer was sent
    EXPECT_EQ(exchange.progress, exchange_progress::maybe_sent);
    m_release_handler.Notify();
    const auto late = m_pool.send(m_address, make_post("/", "y"), system_clock().now() + test_timeout,
                                  connection_choice::pooled, &cancel);
    EXPECT_EQ(late.progress, exchange_progress::not_sent);
}

TEST_F(http_test, stop_lets_requests_in_flight_end) {
    start([&](const http_request& request) {
        m_handler_entered.Notify();
        m_release_handler.WaitForNotification();
        return echo(request);
    });
    http_exchange exchange;
    std::thread caller([&] { exchange = send(make_post("/", "x")); });
    m_handler_entered.WaitForNotification();
    std::thread stopper([&] { m_server->stop(); });
    m_release_handler.Notify();
    caller.join();
    stopper.join();
    EXPECT_EQ(exchange.progress, exchange_progress::answered);
    EXPECT_EQ(exchange.response.body, "/|x");
}

TEST_F(http_test, accepts_a_burst_of_connects_without_retransmits) {
    start(echo);
    constexpr int connects = 300;
    std::vector<int> sockets;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(m_address.substr(m_address.find(':') + 1))));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const system_clock clock;
    int retransmitted = 0;
    for (int index = 0; index < connects; ++index) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto begin = clock.now();
        ASSERT_EQ(::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
        // A SYN dropped by a full backlog is retransmitted after a second; nothing else takes that long here.
        retransmitted += clock.now() - begin > milliseconds{900} ? 1 : 0;
        sockets.push_back(descriptor);
    }
    for (const int descriptor : sockets) {
        ::close(descriptor);
    }
    EXPECT_EQ(retransmitted, 0);
}

/// A listener that completes connects and never answers, like a peer that has lost track of its connection.
class silent_listener {
public:
    silent_listener() {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
        ::listen(m_listener, 16);
        socklen_t size = sizeof(address);
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~silent_listener() { ::close(m_listener); }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;
    [[nodiscard]] int get_port() const { return m_port; }

private:
    int m_listener = -1;
    int m_port = 0;
};

TEST_F(http_test, silent_connection_ends_at_the_deadline_as_maybe_sent) {
    const silent_listener silent;
    m_address = "127.0.0.1:" + std::to_string(silent.get_port());
    const auto exchange = send(make_post("/", "x"), milliseconds{100});
    EXPECT_EQ(exchange.progress, exchange_progress::maybe_sent);
    EXPECT_EQ(exchange.error, make_error_code(transport_errc::timed_out));
}

} // namespace
} // namespace poplarpitch
