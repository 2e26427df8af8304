#pragma once

namespace poplarpitch {

/// A port of loopback that is kept for a daemon that starts later, or starts again. The socket is bound with
/// SO_REUSEADDR and never listens: a daemon, which sets SO_REUSEADDR too, may listen on the port, while the
/// kernel gives it to no outgoing connection and to no bind to port 0. A port that is only found and given
/// back may be taken before the daemon binds it.
class port_reservation {
public:
    /// Takes a free port. A failure shows as port 0 and fails the test. Thread safety: none.
    port_reservation();
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    /// Returns the port. Thread safety: any thread.
    [[nodiscard]] int get_port() const { return m_port; }

private:
    int m_descriptor = -1; ///< the bound socket
    int m_port = 0;        ///< in host order
};

} // namespace poplarpitch
