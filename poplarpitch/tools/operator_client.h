#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/transport/http_client_pool.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Sends the requests of `poplarctl` to entries. Tries the next entry when one cannot be reached.
/// Thread safety: none.
class operator_client {
public:
    /// `timeout` applies to each attempt. Precondition: `entries` (host:port) is not empty.
    operator_client(std::vector<std::string> entries, duration timeout);

    /// Sends a request to the first entry that can be reached. Returns the last attempt when none can.
    http_exchange send(const http_request& request);

private:
    std::vector<std::string> m_entries;
    duration m_timeout;
    http_client_pool m_pool;
};

} // namespace poplarpitch
