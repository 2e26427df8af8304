// Which connection is closed when a listener has as many as it may have.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"
#include "unit_tests/net/raw_client.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

const std::string whole_request = "GET /whole HTTP/1.1\r\n\r\n";
const std::string partial_request = "GET /partial HTTP/1.1\r\n";

/// A listener for two connections on a thread of its own. It answers "/whole" only when told to.
class small_listener {
public:
    small_listener() {
        http_listener_settings settings;
        settings.max_connections = 2;
        m_listener = std::make_unique<http_listener>(
            m_loop, settings, [this](const http_request& request, const http_responder& respond) {
                if (request.target == "/whole") {
                    m_waiting = respond;
                    m_has_request.Notify();
                } else {
                    respond({});
                }
            });
        m_port = m_listener->start().value();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~small_listener() {
        m_loop.stop();
        m_thread.join();
        for (const int socket : m_sockets) {
            ::close(socket);
        }
    }
    small_listener(const small_listener&) = delete;
    small_listener& operator=(const small_listener&) = delete;

    /// Opens a connection, sends these bytes and waits until the listener has read all bytes sent so far.
    int connect(const std::string& bytes) {
        m_sockets.push_back(open_connection(m_port));
        ::send(m_sockets.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        wait_until_read();
        return m_sockets.back();
    }
    void send(int socket, const std::string& bytes) {
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        wait_until_read();
    }
    void answer_waiting() {
        m_has_request.WaitForNotification();
        m_loop.post([this] { m_waiting({}); });
    }

private:
    /// The loop handles everything that is ready before it waits for a timer.
    void wait_until_read() {
        absl::Notification is_read;
        m_loop.post([&] { m_loop.call_after(milliseconds{20}, [&] { is_read.Notify(); }); });
        is_read.WaitForNotification();
    }

    event_loop m_loop;
    http_responder m_waiting;
    absl::Notification m_has_request;
    std::unique_ptr<http_listener> m_listener;
    int m_port = 0;
    std::vector<int> m_sockets;
    std::thread m_thread;
};

// While clients that never end a request kept all connections, ordinary callers got none.
TEST(http_connection_limits, accept_a_newcomer_when_all_connections_have_partial_requests) {
    small_listener listener;
    const int first = listener.connect(partial_request);
    const int second = listener.connect(partial_request);
    const int third = listener.connect("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(read_status(third), 200);
    EXPECT_EQ(read_status(first), 0);
    listener.send(second, "\r\n");
    EXPECT_EQ(read_status(second), 200);
}

// A connection counted as idle while its request was being read, and was closed to make room.
TEST(http_connection_limits, close_the_connection_on_which_nothing_has_moved_for_longest) {
    small_listener listener;
    const int slow = listener.connect("GET /");
    const int idle = listener.connect({});
    listener.send(slow, "slow HTTP/1.1\r\n");
    const int third = listener.connect("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(read_status(third), 200);
    EXPECT_EQ(read_status(idle), 0);
    listener.send(slow, "\r\n");
    EXPECT_EQ(read_status(slow), 200);
}

TEST(http_connection_limits, close_no_connection_whose_request_is_being_handled) {
    small_listener listener;
    const int handled = listener.connect(whole_request);
    const int second = listener.connect(partial_request);
    const int third = listener.connect("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(read_status(third), 200);
    EXPECT_EQ(read_status(second), 0);
    listener.answer_waiting();
    EXPECT_EQ(read_status(handled), 200);
}

// Requests that are sent one after the other without reading filled the buffers of both sides for good.
TEST(http_connection_limits, accept_a_newcomer_when_no_client_reads_its_answers) {
    small_listener listener;
    std::string requests;
    for (int number = 0; number < 10'000; ++number) {
        requests += "GET / HTTP/1.1\r\n\r\n";
    }
    std::vector<std::thread> writers;
    for (int number = 0; number < 2; ++number) {
        const int socket = listener.connect({});
        writers.emplace_back([socket, requests] {
            while (::send(socket, requests.data(), requests.size(), MSG_NOSIGNAL) > 0) {
            }
        });
    }
    const int third = listener.connect("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(read_status(third), 200);
    const int fourth = listener.connect("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(read_status(fourth), 200);
    for (auto& writer : writers) {
        writer.join();
    }
}

} // namespace
} // namespace poplarpitch
