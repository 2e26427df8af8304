#pragma once

#include "poplarpitch/core/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace poplarpitch {

class event_loop;

/// A TCP connection between own processes that carries whole frames: four bytes of length, then the bytes.
///
/// gRPC was weighed: an idle channel that cannot connect costs 1.4% of a core and each message several
/// threads' wake-ups. Unsent frames are bounded; what is above the bound closes the connection, because its
/// reader is not there any more. Thread safety: the loop's thread, for all methods.
class frame_socket : public std::enable_shared_from_this<frame_socket> {
public:
    struct parts;

    /// Called for each frame that arrived.
    using frame_handler = std::function<void(const std::string&)>;

    explicit frame_socket(std::unique_ptr<parts> connected);
    ~frame_socket();
    frame_socket(const frame_socket&) = delete;
    frame_socket& operator=(const frame_socket&) = delete;

    /// Begins to read. `on_closed` is called once, when the connection has ended for any reason but `close`.
    void start(frame_handler on_frame, std::function<void()> on_closed);
    /// Sends a frame, after those before it.
    void send(const std::string& frame);
    /// Ends the connection. Neither handler is called any more.
    void close();
    [[nodiscard]] bool is_open() const;

private:
    void read();
    void on_bytes(std::size_t count);
    void write();
    void end();

    std::unique_ptr<parts> m_parts;
};

/// Accepts connections of frames.
class frame_listener {
public:
    using accept_handler = std::function<void(std::shared_ptr<frame_socket>)>;

    /// Precondition: `loop` outlives the listener.
    frame_listener(event_loop& loop, std::string host, int port, accept_handler on_accept);
    ~frame_listener();
    frame_listener(const frame_listener&) = delete;
    frame_listener& operator=(const frame_listener&) = delete;

    /// Listens. Returns the port, or 0 when the address cannot be listened on. Thread safety: the loop's
    /// thread.
    int start();

private:
    struct parts;
    std::shared_ptr<parts> m_parts;
};

/// Connects a frame socket to `address` (IPv4 and port). `on_done` gets null when no connection is made
/// within `timeout`. Thread safety: the loop's thread.
void connect_frame_socket(event_loop& loop, const std::string& address, duration timeout,
                          std::function<void(std::shared_ptr<frame_socket>)> on_done);

} // namespace poplarpitch
