#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace poplarpitch::job_wire {
class cluster_frame;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

class event_loop;
class frame_socket;

/// Connections to other control instances by address, opened when there is a frame to send.
///
/// Frames may be lost but not corrupted; the log resends what matters. A connection on which frames were sent
/// but none was received for a while is replaced, because a network path can stay dead while new connections
/// work. Thread safety: the loop's thread, for all methods.
class peer_mesh {
public:
    using frame_handler = std::function<void(std::uint32_t ip, const job_wire::cluster_frame&)>;

    /// `own_ip`: address of this instance, in host order, by which others know it. `on_frame` is called with
    /// each frame received on these connections. Precondition: `loop` outlives the mesh.
    peer_mesh(event_loop& loop, std::uint32_t own_ip, int port, frame_handler on_frame);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Sends a frame to the instance at `ip`. Returns false when it was certainly not sent, because there is
    /// no connection or too much was already waiting on it.
    bool send(std::uint32_t ip, const job_wire::cluster_frame& frame);
    /// Called when a frame of the instance at `ip` arrived on any connection.
    void on_received(std::uint32_t ip);

private:
    struct link {
        std::shared_ptr<frame_socket> socket;
        bool is_connecting = false;
        time_point retry_at{};
        time_point
            unconfirmed_since{}; ///< when the first frame since the last received one was sent; zero: none
    };

    void connect(std::uint32_t ip);

    event_loop& m_loop;
    std::uint32_t m_own_ip;
    int m_port;
    frame_handler m_on_frame;
    std::map<std::uint32_t, link> m_links;
    std::shared_ptr<bool> m_is_alive; ///< false after destruction; checked by pending connects
};

} // namespace poplarpitch
