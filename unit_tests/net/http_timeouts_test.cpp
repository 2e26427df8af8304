// Requests that never end and responses that are never taken.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"
#include "unit_tests/net/raw_client.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace poplarpitch {
namespace {

constexpr duration short_timeout = milliseconds{100};
constexpr duration test_timeout = seconds{20}; // a passing test never reaches it
constexpr std::size_t large_body = 32U << 20;  // more than the buffers of both sockets
const std::string whole_request = "GET / HTTP/1.1\r\n\r\n";

http_listener_settings make_settings(duration http_limits::*shortened) {
    http_listener_settings settings;
    settings.sweep_interval = milliseconds{20};
    settings.limits.*shortened = short_timeout;
    if (shortened == &http_limits::body_timeout) {
        settings.limits.header_timeout = short_timeout; // the body's time begins at the end of the header's
    }
    return settings;
}

/// Sends `bytes` to a listener with these settings. Returns the status of what comes back, 0 when the
/// connection ends without a response.
int send_to_listener(const http_listener_settings& settings, const std::string& bytes) {
    event_loop loop;
    http_listener listener(
        loop, settings, [](const http_request& /*request*/, const http_responder& respond) { respond({}); });
    const int port = listener.start().value();
    int status = -1;
    std::thread client([&] {
        const int socket = open_connection(port);
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        status = read_status(socket).value_or(-1);
        ::close(socket);
        loop.stop();
    });
    loop.run();
    client.join();
    return status;
}

TEST(http_timeouts, answer_408_to_a_header_that_never_ends) {
    EXPECT_EQ(send_to_listener(make_settings(&http_limits::header_timeout), "GET / HTTP/1.1\r\n"), 408);
}

TEST(http_timeouts, answer_408_to_a_body_that_never_ends) {
    EXPECT_EQ(send_to_listener(make_settings(&http_limits::body_timeout),
                               "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"),
              408);
}

TEST(http_timeouts, close_a_connection_on_which_no_request_begins) {
    EXPECT_EQ(send_to_listener(make_settings(&http_limits::idle_timeout), ""), 0);
}

// A response that is never taken kept its connection, and counted as an open request, for good.
TEST(http_timeouts, close_a_connection_whose_client_never_takes_the_response) {
    event_loop loop;
    http_listener listener(loop, make_settings(&http_limits::write_timeout),
                           [](const http_request& /*request*/, const http_responder& respond) {
                               http_response response;
                               response.body.assign(large_body, 'x');
                               respond(response);
                           });
    const int socket = open_connection(listener.start().value());
    ::send(socket, whole_request.data(), whole_request.size(), MSG_NOSIGNAL);
    bool was_writing = false;
    std::function<void()> look = [&] {
        was_writing = was_writing || listener.get_open_requests() == 1;
        if (was_writing && listener.get_connections() == 0 && listener.get_open_requests() == 0) {
            loop.stop();
            return;
        }
        loop.call_after(milliseconds{10}, look);
    };
    loop.post(look);
    loop.call_after(test_timeout, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(was_writing);
    EXPECT_EQ(listener.get_connections(), 0U);
    EXPECT_EQ(listener.get_open_requests(), 0U);
    ::close(socket);
}

// A connection that is closed with unread bytes is reset, and the client may never see the response.
TEST(http_timeouts, let_a_client_that_still_sends_see_why_it_was_refused) {
    http_listener_settings settings;
    settings.limits.max_body = 1000;
    const auto body = std::string(400'000, 'x');
    const auto message = "POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + body;
    for (int attempt = 0; attempt < 20; ++attempt) {
        EXPECT_EQ(send_to_listener(settings, message), 413);
    }
}

} // namespace
} // namespace poplarpitch
