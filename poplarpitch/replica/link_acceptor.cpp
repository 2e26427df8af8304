#include "poplarpitch/replica/link_acceptor.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_limits.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr frame_limits unknown_peer_limits{.max_frame = 8U << 20, .max_unsent = 4U << 20};

} // namespace

link_acceptor::link_acceptor(event_loop& loop, memory_budget& budget, std::size_t max_unknown,
                             address_check is_known, frame_handler on_frame)
    : m_loop(loop), m_budget(budget), m_max_unknown(max_unknown), m_is_known(std::move(is_known)),
      m_on_frame(std::move(on_frame)) {}

link_acceptor::~link_acceptor() {
    for (const auto* list : {&m_unknown, &m_known}) {
        for (const auto& item : *list) {
            item.socket->close();
        }
    }
}

bool link_acceptor::start(const std::string& host, int port) {
    m_listener = std::make_unique<frame_listener>(
        m_loop, host, port, [this](const std::shared_ptr<frame_socket>& socket) { accept(socket); });
    return m_listener->start() != 0;
}

void link_acceptor::accept(const std::shared_ptr<frame_socket>& socket) {
    make_room();
    socket->limit(unknown_peer_limits, m_budget);
    const auto item = m_unknown.insert(m_unknown.end(), {socket});
    socket->start([this, item](const std::string& bytes) { on_bytes(item, bytes); },
                  [this, item] { (item->is_known ? m_known : m_unknown).erase(item); });
}

void link_acceptor::make_room() {
    if (m_unknown.size() < m_max_unknown) {
        return;
    }
    ++m_closed_for_room;
    m_unknown.front().socket->close();
    m_unknown.pop_front();
}

void link_acceptor::on_bytes(connection_list::iterator item, const std::string& bytes) {
    google::protobuf::Arena arena; // a frame has thousands of small messages
    auto& frame = *google::protobuf::Arena::CreateMessage<job_wire::cluster_frame>(&arena);
    if (!frame.ParseFromString(bytes)) {
        log_event(log_level::warn, "frame_unreadable").add("bytes", static_cast<std::uint64_t>(bytes.size()));
        return;
    }
    item->is_watcher = item->is_watcher || (frame.has_ask_status() && frame.ask_status().wants_changes());
    const auto socket = item->socket; // the frame's handler may close the connection
    m_on_frame(socket, frame);
    if (socket->is_open()) {
        on_readable_frame(item);
    }
}

void link_acceptor::on_readable_frame(connection_list::iterator item) {
    if (item->is_known) {
        return;
    }
    item->is_known = m_is_known(item->socket->get_peer_ip());
    if (item->is_known) {
        item->socket->lift_limits();
    }
    auto& target = item->is_known ? m_known : m_unknown;
    target.splice(target.end(), m_unknown, item);
}

void link_acceptor::send_to_watchers(const std::string& frame) {
    std::vector<std::shared_ptr<frame_socket>>
        watchers; // a full socket closes itself, which changes the lists
    for (const auto* list : {&m_unknown, &m_known}) {
        for (const auto& item : *list) {
            if (item.is_watcher) {
                watchers.push_back(item.socket);
            }
        }
    }
    for (const auto& socket : watchers) {
        socket->send(frame);
    }
}

} // namespace poplarpitch
