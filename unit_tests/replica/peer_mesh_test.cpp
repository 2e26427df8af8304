#include "poplarpitch/replica/peer_mesh.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration test_timeout = seconds{20}; // reached only when the test fails
constexpr duration poll_interval = milliseconds{5};

job_wire::cluster_frame make_frame(std::size_t bytes) {
    job_wire::cluster_frame frame;
    frame.mutable_request()->set_body(std::string(bytes, 'x'));
    return frame;
}

/// A mesh with one peer, which accepts connections and reads nothing from them.
class peer_mesh_test : public testing::Test {
protected:
    peer_mesh_test()
        : m_listener(m_loop, "127.0.0.1", 0,
                     [this](const std::shared_ptr<frame_socket>& socket) { m_accepted.push_back(socket); }),
          m_mesh(m_loop, parse_ip("127.0.0.1").value_or(0), m_listener.start(),
                 [](std::uint32_t, const job_wire::cluster_frame&) {}),
          m_ip(parse_ip("127.0.0.1").value_or(0)) {}

    /// Runs the loop until a frame was sent over a connection, or until the time limit of the test.
    bool connect() {
        m_loop.call_after(test_timeout, [this] { m_loop.stop(); });
        send_until_connected();
        m_loop.run();
        return m_is_connected;
    }

    event_loop m_loop;
    std::vector<std::shared_ptr<frame_socket>> m_accepted;
    frame_listener m_listener;
    peer_mesh m_mesh;
    std::uint32_t m_ip;

private:
    void send_until_connected() {
        if (m_mesh.send(m_ip, make_frame(1))) {
            m_is_connected = true;
            m_loop.stop();
            return;
        }
        m_loop.call_after(poll_interval, [this] { send_until_connected(); });
    }

    bool m_is_connected = false;
};

TEST_F(peer_mesh_test, frame_dropped_for_a_full_buffer_is_reported_as_sent) {
    constexpr std::size_t small_frame = 1U << 10;
    constexpr std::size_t frame_beyond_the_buffer = 17U << 20; // a connection buffers 16 MB
    ASSERT_TRUE(connect());
    EXPECT_TRUE(m_mesh.send(m_ip, make_frame(small_frame)));
    EXPECT_FALSE(m_mesh.send(m_ip, make_frame(frame_beyond_the_buffer)));
}

} // namespace
} // namespace poplarpitch
