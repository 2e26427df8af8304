#pragma once

#include <optional>

namespace poplarpitch {

/// Opens a TCP connection to a loopback port, with timeouts of 5 s. The test fails if it is not accepted.
/// Thread safety: any thread.
int open_connection(int port);

/// Returns the status of the response that comes, 0 when the connection ends without one, and nothing when
/// neither happens in time. Thread safety: any thread.
std::optional<int> read_status(int socket);

} // namespace poplarpitch
