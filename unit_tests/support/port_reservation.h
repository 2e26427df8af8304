#pragma once

namespace poplarpitch {

/// Reserves a loopback port for a daemon that starts or restarts later. The socket is bound with SO_REUSEADDR
/// and never listens. A daemon, which also sets SO_REUSEADDR, can therefore listen on the port, but the
/// kernel assigns it neither to an outgoing connection nor to a bind to port 0. Without a reservation,
/// another process could take a free port before the daemon binds it.
class port_reservation {
public:
    /// Reserves a free port. On failure the port is 0 and the test fails. Thread safety: none.
    port_reservation();
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    /// Returns the port. Thread safety: any thread.
    [[nodiscard]] int get_port() const { return m_port; }

private:
    int m_descriptor = -1; ///< the bound socket
    int m_port = 0;        ///< in host byte order
};

} // namespace poplarpitch
