#include "poplarpitch/replica/peer_mesh.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/wire/scheduling.pb.h"

namespace poplarpitch {
namespace {

constexpr duration connect_timeout = milliseconds{700}; // a round trip is a few milliseconds
constexpr duration retry_pause = milliseconds{150};     // after a failed or lost connection
constexpr duration silence_timeout =
    milliseconds{800}; // eight heartbeat intervals in which frames were sent and none was received

} // namespace

peer_mesh::peer_mesh(event_loop& loop, std::uint32_t own_ip, int port, frame_handler on_frame)
    : m_loop(loop), m_own_ip(own_ip), m_port(port), m_on_frame(std::move(on_frame)),
      m_is_alive(std::make_shared<bool>(true)) {}

peer_mesh::~peer_mesh() {
    *m_is_alive = false;
    for (auto& [ip, peer] : m_links) {
        if (peer.socket != nullptr) {
            peer.socket->close();
        }
    }
}

bool peer_mesh::send(std::uint32_t ip, const job_wire::cluster_frame& frame) {
    auto& peer = m_links[ip];
    if (peer.socket != nullptr && peer.unconfirmed_since != time_point{} &&
        m_loop.now() - peer.unconfirmed_since > silence_timeout) {
        peer.socket->close();
        peer.socket = nullptr;
        peer.unconfirmed_since = time_point{};
    }
    if (peer.socket == nullptr) {
        connect(ip);
        return false;
    }
    if (peer.unconfirmed_since == time_point{}) {
        peer.unconfirmed_since = m_loop.now();
    }
    const auto socket = peer.socket; // a full buffer closes it, which removes it from the link
    return socket->send(frame.SerializeAsString());
}

void peer_mesh::on_received(std::uint32_t ip) {
    const auto found = m_links.find(ip);
    if (found != m_links.end()) {
        found->second.unconfirmed_since = time_point{};
    }
}

void peer_mesh::connect(std::uint32_t ip) {
    auto& peer = m_links[ip];
    if (peer.is_connecting || m_loop.now() < peer.retry_at) {
        return;
    }
    peer.is_connecting = true;
    const auto address = format_address({ip, static_cast<std::uint16_t>(m_port)});
    connect_frame_socket(
        m_loop, address, connect_timeout,
        [this, ip, alive = m_is_alive](const std::shared_ptr<frame_socket>& socket) {
            if (!*alive) {
                return;
            }
            auto& peer = m_links[ip];
            peer.is_connecting = false;
            if (socket == nullptr) {
                peer.retry_at = m_loop.now() + retry_pause;
                return;
            }
            peer.socket = socket;
            peer.unconfirmed_since = time_point{};
            socket->start(
                [this, ip](const std::string& bytes) {
                    google::protobuf::Arena arena; // a frame has thousands of small messages
                    auto& frame = *google::protobuf::Arena::CreateMessage<job_wire::cluster_frame>(&arena);
                    if (frame.ParseFromString(bytes)) {
                        on_received(ip);
                        m_on_frame(ip, frame);
                    }
                },
                [this, ip] {
                    m_links[ip].socket = nullptr;
                    m_links[ip].retry_at = m_loop.now() + retry_pause;
                });
        },
        m_own_ip);
}

} // namespace poplarpitch
