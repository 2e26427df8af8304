#pragma once

#include "poplarpitch/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>

namespace poplarpitch::job_wire {
class cluster_frame;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

class event_loop;
class frame_listener;
class frame_socket;
class memory_budget;

/// Accepts the connections of other processes to the link port: those of other control instances, whose
/// addresses are known, and of entry instances, whose addresses are not.
///
/// Anyone can connect, so what is held for an unknown peer is bounded: its frames are as large as a caller's
/// request at most, their bytes count against the process's memory budget, and of too many such connections
/// the one that has been without a readable frame for longest is closed. A known peer may send frames of any
/// size of the protocol. Thread safety: the loop's thread, for all methods.
class link_acceptor {
public:
    using frame_handler =
        std::function<void(const std::shared_ptr<frame_socket>&, const job_wire::cluster_frame&)>;
    using address_check = std::function<bool(std::uint32_t ip)>;

    /// Accepts `max_unknown` connections of unknown peers. `is_known` tells whether an address is that of a
    /// control instance. Precondition: `loop` and `budget` outlive the object.
    link_acceptor(event_loop& loop, memory_budget& budget, std::size_t max_unknown, address_check is_known,
                  frame_handler on_frame);
    ~link_acceptor();
    link_acceptor(const link_acceptor&) = delete;
    link_acceptor& operator=(const link_acceptor&) = delete;

    /// Starts to listen. Returns false when that fails.
    [[nodiscard]] bool start(const std::string& host, int port);
    /// Sends a frame to all peers that have asked for changes of the status.
    void send_to_watchers(const std::string& frame);
    /// Returns the number of open connections.
    [[nodiscard]] std::size_t count() const { return m_unknown.size() + m_known.size(); }
    /// Returns the number of connections of unknown peers that were closed to make room for others.
    [[nodiscard]] std::uint64_t get_closed_for_room() const { return m_closed_for_room; }

private:
    struct connection {
        std::shared_ptr<frame_socket> socket;
        bool is_known = false;
        bool is_watcher = false; ///< wants to be told of changes
    };
    using connection_list = std::list<connection>;

    void accept(const std::shared_ptr<frame_socket>& socket);
    void on_bytes(connection_list::iterator item, const std::string& bytes);
    /// Moves a connection to the end of its list, and to the known ones once its peer is known.
    void on_readable_frame(connection_list::iterator item);
    void make_room();

    event_loop& m_loop;
    memory_budget& m_budget;
    std::size_t m_max_unknown;
    address_check m_is_known;
    frame_handler m_on_frame;
    std::unique_ptr<frame_listener> m_listener;
    connection_list m_unknown; ///< the one with the newest readable frame at the end
    connection_list m_known;
    std::uint64_t m_closed_for_room = 0;
};

} // namespace poplarpitch
