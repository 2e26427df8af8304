#pragma once

#include "poplarpitch/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarpitch {

class event_loop;
class memory_budget;
struct frame_limits;

/// A TCP connection between processes of this project that carries frames. A frame is a length of four bytes,
/// little-endian, followed by the payload.
///
/// gRPC was considered: an idle channel that cannot connect costs 1.4% of a core, and each message wakes up
/// several threads. The amount of unsent frames is bounded. Exceeding the bound closes the connection,
/// because the peer has stopped reading. Thread safety: the loop's thread, for all methods.
class frame_socket : public std::enable_shared_from_this<frame_socket> {
public:
    struct impl;

    /// Called for each received frame.
    using frame_handler = std::function<void(const std::string&)>;

    /// Takes over a connected socket. Use `connect_frame_socket` or `frame_listener` to create one.
    explicit frame_socket(std::unique_ptr<impl> connected);
    ~frame_socket();
    frame_socket(const frame_socket&) = delete;
    frame_socket& operator=(const frame_socket&) = delete;

    /// Limits the frames of the connection, and counts what is held for it against `budget`, which may close
    /// it. Without it, the limits are those of connections to known processes, and nothing is counted.
    /// Preconditions: called before `start`; `budget` outlives the connection.
    void limit(const frame_limits& limits, memory_budget& budget);
    /// Takes the limits of connections to known processes, and counts nothing any more.
    void lift_limits();
    /// Returns the IPv4 address of the peer, in host order; 0 when the connection has ended.
    [[nodiscard]] std::uint32_t get_peer_ip() const;
    /// Starts to read. `on_closed` is called once, when the connection ends for any reason except `close`.
    void start(frame_handler on_frame, std::function<void()> on_closed);
    /// Queues a frame for sending. Frames are sent in order. Returns false when the frame was dropped,
    /// because the connection is closed or this frame exceeds the bound of unsent frames and closes it.
    bool send(const std::string& frame);
    /// Closes the connection. Neither handler is called afterwards.
    void close();
    /// Returns true until the connection is closed by either side.
    [[nodiscard]] bool is_open() const;

private:
    void read();
    void on_bytes(std::size_t count);
    /// Handles the frames that have arrived whole. Returns false when the connection was closed.
    bool handle_frames();
    /// Counts what is held for the peer. Returns false when that closes the connection.
    bool hold_memory();
    void write();
    void on_written();
    void close_and_notify();

    std::unique_ptr<impl> m_impl;
};

/// Accepts frame connections.
class frame_listener {
public:
    /// Called for each accepted connection.
    using accept_handler = std::function<void(std::shared_ptr<frame_socket>)>;

    /// Precondition: `loop` outlives the listener.
    frame_listener(event_loop& loop, std::string host, int port, accept_handler on_accept);
    ~frame_listener();
    frame_listener(const frame_listener&) = delete;
    frame_listener& operator=(const frame_listener&) = delete;

    /// Starts to listen. Returns the port, or 0 when listening on the address fails. Thread safety: the
    /// loop's thread.
    int start();

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

/// Connects a frame socket to `address` (IPv4 address and port). `source_ip`: own address of the connection,
/// in host order, by which the peer knows this process; 0 for any. `on_done` receives null when no connection
/// is established within `timeout`. Thread safety: the loop's thread.
void connect_frame_socket(event_loop& loop, const std::string& address, duration timeout,
                          std::function<void(std::shared_ptr<frame_socket>)> on_done,
                          std::uint32_t source_ip = 0);

} // namespace poplarpitch
