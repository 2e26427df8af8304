// Each part of an HTTP/1.1 message, grown without end and cut at each byte.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/net/memory_budget.h"
#include "unit_tests/net/raw_client.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t grown_bytes = 16U << 20; // far more than the buffers of both sockets
constexpr std::size_t max_header = 16'384;
constexpr std::size_t max_body = 262'144;

/// A listener on a thread of its own that counts the requests that it handles.
class running_listener {
public:
    running_listener() {
        http_listener_settings settings;
        settings.limits.max_header = max_header;
        settings.limits.max_body = max_body;
        m_listener = std::make_unique<http_listener>(
            m_loop, settings, [this](const http_request& /*request*/, const http_responder& respond) {
                ++m_requests;
                respond({});
            });
        m_port = m_listener->start().value();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~running_listener() {
        m_loop.stop();
        m_thread.join();
        m_listener.reset();
    }
    running_listener(const running_listener&) = delete;
    running_listener& operator=(const running_listener&) = delete;

    [[nodiscard]] int get_port() const { return m_port; }
    [[nodiscard]] int get_requests() const { return m_requests; }

private:
    event_loop m_loop;
    std::atomic<int> m_requests{0};
    std::unique_ptr<http_listener> m_listener;
    int m_port = 0;
    std::thread m_thread;
};

/// Sends `opening` and then `repeated` until the peer takes no more or all is sent. Returns what became of
/// the message, as `read_status` does.
std::optional<int> send_grown(int port, const std::string& opening, const std::string& repeated) {
    const int socket = open_connection(port);
    std::string part = repeated;
    while (part.size() < 65'536) {
        part += part;
    }
    bool is_open = ::send(socket, opening.data(), opening.size(), MSG_NOSIGNAL) >= 0;
    for (std::size_t sent = 0; is_open && sent < grown_bytes; sent += part.size()) {
        is_open = ::send(socket, part.data(), part.size(), MSG_NOSIGNAL) >= 0;
    }
    const auto status = read_status(socket);
    ::close(socket);
    return status;
}

struct grown_part {
    const char* name;
    std::string opening;
    std::string repeated;
};

const std::string chunked = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<grown_part> make_parts() {
    return {{"empty lines in front", "", "\r\n"},
            {"method", "P", "O"},
            {"target", "POST /", "p"},
            {"version", "POST /p HTTP/1.", "1"},
            {"header name", "POST /p HTTP/1.1\r\nX", "x"},
            {"header value", "POST /p HTTP/1.1\r\nX: ", "x"},
            {"folded header value", "POST /p HTTP/1.1\r\nX: a", "\r\n a"},
            {"number of headers", "POST /p HTTP/1.1\r\n", "X: x\r\n"},
            {"body", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", "x"},
            {"digits of the length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 1", "0"},
            {"digits of a chunk's size", chunked, "0"},
            {"name of a chunk's extension", chunked + "1;", "x"},
            {"value of a chunk's extension", chunked + "1;x=", "x"},
            {"number of a chunk's extensions", chunked + "1", ";x=y"},
            {"one chunk", chunked + "fffffff\r\n", "x"},
            {"number of chunks", chunked, "4\r\nabcd\r\n"},
            {"chunks with extensions", chunked, "1;" + std::string(4000, 'x') + "\r\na\r\n"},
            {"name of a trailer", chunked + "0\r\nX", "x"},
            {"value of a trailer", chunked + "0\r\nX: ", "x"},
            {"number of trailers", chunked + "0\r\n", "X: x\r\n"}};
}

// Trailers and extensions of chunks were kept without a limit until the process ran out of memory.
TEST(http_message_limits, end_every_message_of_which_a_part_never_ends) {
    const running_listener listener;
    for (const auto& part : make_parts()) {
        const auto status = send_grown(listener.get_port(), part.opening, part.repeated);
        EXPECT_TRUE(status.has_value()) << part.name << ": accepted without end";
        EXPECT_TRUE(status.value_or(0) == 0 || status == 400 || status == 413 || status == 431)
            << part.name << ": " << status.value_or(0);
    }
    EXPECT_EQ(listener.get_requests(), 0);
}

// A request that is not whole must not be handled.
TEST(http_message_limits, handle_no_message_that_is_cut_at_any_byte) {
    const std::string message = "POST /p?q HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "4;name=\"value\"\r\nabcd\r\n3\r\nefg\r\n0\r\nX-Trailer: value\r\n\r\n";
    const running_listener listener;
    for (std::size_t length = 0; length < message.size(); ++length) {
        const int socket = open_connection(listener.get_port());
        ::send(socket, message.data(), length, MSG_NOSIGNAL);
        ::shutdown(socket, SHUT_WR);
        EXPECT_TRUE(read_status(socket).has_value()) << length;
        ::close(socket);
        EXPECT_EQ(listener.get_requests(), 0) << message.substr(0, length);
    }
    const int socket = open_connection(listener.get_port());
    ::send(socket, message.data(), message.size(), MSG_NOSIGNAL);
    EXPECT_EQ(read_status(socket), 200);
    ::close(socket);
    EXPECT_EQ(listener.get_requests(), 1);
}

std::string make_request(const std::string& header, const std::string& body) {
    return absl::StrCat("POST /p HTTP/1.1\r\nHost: a\r\n", header, "\r\n\r\n", body);
}

std::optional<int> send_whole(int port, const std::string& message) {
    const int socket = open_connection(port);
    EXPECT_EQ(::send(socket, message.data(), message.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(message.size()));
    const auto status = read_status(socket);
    ::close(socket);
    return status;
}

TEST(http_message_limits, serve_requests_inside_the_limits) {
    const running_listener listener;
    const auto body = std::string(max_body, 'x');
    const auto length = absl::StrCat("Content-Length: ", body.size());
    const auto filler = "X: " + std::string(max_header - make_request("X: ", "").size(), 'x');
    EXPECT_EQ(make_request(filler, "").size(), max_header);
    EXPECT_EQ(send_whole(listener.get_port(), make_request(filler, "")), 200);
    EXPECT_EQ(send_whole(listener.get_port(), make_request(length, body)), 200);
    std::string chunks;
    for (std::size_t byte = 0; byte < max_body; ++byte) {
        chunks += "1\r\nx\r\n";
    }
    const auto trailers = "0\r\nX-Trailer: " + std::string(4000, 'x') + "\r\n\r\n";
    EXPECT_EQ(send_whole(listener.get_port(), make_request("Transfer-Encoding: chunked", chunks + trailers)),
              200);
    EXPECT_EQ(listener.get_requests(), 3);
}

// Without a limit, requests that wait for their responses would take any amount of memory. A request that is
// answered 503 must never be handled, since its caller is told so.
TEST(http_message_limits, refuse_requests_that_are_not_passed_on_once_those_that_wait_take_too_much) {
    constexpr std::size_t memory_limit = 2U
                                         << 20; // one request of 100,000 bytes fills the share of long ones
    event_loop loop;
    memory_budget budget(memory_limit);
    std::vector<std::string> handled;
    std::vector<http_responder> waiting;
    std::atomic<bool> has_first{false};
    http_listener listener(loop, budget, http_listener_settings{},
                           [&](const http_request& request, const http_responder& respond) {
                               handled.push_back(request.target);
                               waiting.push_back(respond);
                               has_first = true;
                               if (request.target == "/short") {
                                   loop.stop();
                               }
                           });
    const int port = listener.start().value();
    std::thread clients([&] {
        const std::string body(100'000, 'x');
        std::vector<int> sockets;
        const auto send_request = [&](const std::string& target, const std::string& text) {
            const auto message =
                absl::StrCat("POST ", target, " HTTP/1.1\r\nContent-Length: ", text.size(), "\r\n\r\n", text);
            sockets.push_back(open_connection(port));
            ::send(sockets.back(), message.data(), message.size(), MSG_NOSIGNAL);
            return sockets.back();
        };
        send_request("/1", body);
        while (!has_first) {
            std::this_thread::yield();
        }
        EXPECT_EQ(read_status(send_request("/2", body)), 503);
        EXPECT_EQ(read_status(send_request("/3", body)), 503);
        send_request("/short", "x");
        for (const int socket : sockets) {
            ::close(socket);
        }
    });
    loop.run();
    clients.join();
    EXPECT_EQ(handled, (std::vector<std::string>{"/1", "/short"}));
}

} // namespace
} // namespace poplarpitch
