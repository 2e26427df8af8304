// Connections of unknown and known processes to the link port.
#include "poplarpitch/replica/link_acceptor.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/support/port_reservation.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t memory_limit = 64U << 20;
constexpr std::size_t max_unknown = 2;
constexpr duration connect_timeout = seconds{5};
constexpr duration test_timeout = seconds{20}; // a passing test never reaches it
constexpr std::size_t large_frame = 9U << 20;  // more than an unknown peer may send
const std::uint32_t known_ip = parse_ip("127.0.0.2").value_or(0);

std::string make_frame(std::size_t bytes) {
    job_wire::cluster_frame frame;
    frame.mutable_request()->set_body(std::string(bytes, 'x'));
    return frame.SerializeAsString();
}

/// A link acceptor that knows 127.0.0.2, and clients of it, on one loop.
class link_acceptor_test : public testing::Test {
protected:
    link_acceptor_test()
        : m_acceptor(
              m_loop, m_memory, max_unknown, [](std::uint32_t ip) { return ip == known_ip; },
              [this](const std::shared_ptr<frame_socket>&, const job_wire::cluster_frame& frame) {
                  m_received.push_back(frame.request().body().size());
              }) {
        EXPECT_TRUE(m_acceptor.start("127.0.0.1", m_port.get_port()));
    }
    void TearDown() override {
        for (const auto& client : m_clients) {
            client->close();
        }
    }

    /// Runs the loop until `is_done` returns true. Returns false at the time limit of the test.
    bool run_until(const std::function<bool()>& is_done) {
        m_loop.get_context().restart(); // the last run has stopped it
        const auto limit = m_loop.call_after(test_timeout, [&] { m_loop.stop(); });
        timer_id next_look = 0;
        std::function<void()> look = [&] {
            if (is_done()) {
                m_loop.stop();
            } else {
                next_look = m_loop.call_after(milliseconds{1}, look);
            }
        };
        m_loop.post(look);
        m_loop.run();
        m_loop.cancel(limit);
        m_loop.cancel(next_look);
        return is_done();
    }

    /// Opens a connection from this address.
    void connect(std::uint32_t source_ip) {
        const auto count = m_clients.size();
        connect_frame_socket(
            m_loop,
            format_address(
                {parse_ip("127.0.0.1").value_or(0), static_cast<std::uint16_t>(m_port.get_port())}),
            connect_timeout,
            [this](const std::shared_ptr<frame_socket>& socket) {
                ASSERT_NE(socket, nullptr);
                m_clients.push_back(socket);
                socket->start([](const std::string&) {}, [this] { ++m_closed; });
            },
            source_ip);
        ASSERT_TRUE(run_until([&] { return m_clients.size() == count + 1 && m_acceptor.count() > 0; }));
    }

    memory_budget m_memory{memory_limit};
    event_loop m_loop;
    port_reservation m_port;
    std::vector<std::size_t> m_received; ///< sizes of the bodies
    link_acceptor m_acceptor;
    std::vector<std::shared_ptr<frame_socket>> m_clients;
    int m_closed = 0;
};

TEST_F(link_acceptor_test, closes_the_connection_of_an_unknown_peer_that_sends_a_large_frame) {
    connect(0);
    m_clients[0]->send(make_frame(large_frame));
    EXPECT_TRUE(run_until([&] { return m_closed == 1; }));
    EXPECT_TRUE(m_received.empty());
}

TEST_F(link_acceptor_test, takes_a_large_frame_of_a_known_peer) {
    connect(known_ip);
    m_clients[0]->send(make_frame(1));
    m_clients[0]->send(make_frame(large_frame));
    EXPECT_TRUE(run_until([&] { return m_received.size() == 2; }));
    EXPECT_EQ(m_received.back(), large_frame);
}

// Idle connections of strangers must not keep an entry instance away, nor cost the connection of another one.
TEST_F(link_acceptor_test, closes_the_unknown_connection_without_a_readable_frame_for_longest) {
    connect(known_ip);
    m_clients[0]->send(make_frame(1));
    ASSERT_TRUE(run_until([&] { return m_received.size() == 1; }));
    connect(0);
    connect(0);
    m_clients[1]->send(make_frame(2));
    ASSERT_TRUE(run_until([&] { return m_received.size() == 2; }));
    connect(0);
    EXPECT_TRUE(run_until([&] { return m_closed == 1; }));
    EXPECT_FALSE(m_clients[2]->is_open());
    EXPECT_TRUE(m_clients[1]->is_open());
    EXPECT_EQ(m_acceptor.count(), 3U);
    EXPECT_EQ(m_acceptor.get_closed_for_room(), 1U);
}

} // namespace
} // namespace poplarpitch
