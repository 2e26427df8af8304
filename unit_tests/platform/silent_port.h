#pragma once

namespace poplarpitch {

/// Drops from now on every packet that arrives for this process at a local TCP port, on open connections and
/// for new ones, without an acknowledgement or a reset. Peers see what they see of a machine that has lost
/// power: sent data is not acknowledged and connection attempts time out. The test fails if a socket does not
/// accept the filter. Thread safety: no other thread may open or close sockets at this port meanwhile.
void silence_port(int port);

} // namespace poplarpitch
