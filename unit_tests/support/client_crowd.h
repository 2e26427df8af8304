#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {

/// What each connection of a crowd sends.
struct crowd_message {
    std::string opening;            ///< sent once
    std::string repeated;           ///< sent again and again afterwards; empty for nothing
    std::size_t repeated_limit = 0; ///< bytes of repetitions after which the connection sends nothing more

    friend bool operator==(const crowd_message&, const crowd_message&) = default;
};

/// Connections of clients that send and never read. They stay open until the peer closes them or the crowd is
/// destroyed. Thread safety: none, for all methods.
class client_crowd {
public:
    /// Opens `connections` connections to `address`, an IPv4 address and port. One that cannot be opened is
    /// left out.
    client_crowd(const std::string& address, int connections, const crowd_message& message);
    /// As above; `make_message` returns what the connection of that number sends. Numbers count from 0.
    client_crowd(const std::string& address, int connections,
                 const std::function<crowd_message(int)>& make_message);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Sends on all connections, a part on each in turn, until nothing has moved on any of them for a second:
    /// each has sent everything, was closed by its peer, or accepts no more bytes. Calls `observe` after each
    /// turn.
    void send_all(const std::function<void()>& observe);
    /// Returns the number of connections that the peer has not closed.
    [[nodiscard]] std::size_t count_open() const { return m_members.size(); }

private:
    struct member {
        int socket = -1;
        std::shared_ptr<const crowd_message> message;
        std::size_t sent = 0;
    };

    /// Sends the next part on one connection. Returns false when nothing was sent.
    static bool send_part(member& item);
    /// Returns how many sent bytes the peer's machine has not received yet.
    [[nodiscard]] std::size_t count_unacknowledged() const;
    void add(const std::string& address, const std::shared_ptr<const crowd_message>& message);
    /// Removes the connections that the peer has closed.
    void remove_closed();

    std::vector<member> m_members;
};

/// Lets this process and the processes that it starts from now on open as many files as the system allows.
void raise_descriptor_limit();

} // namespace poplarpitch
