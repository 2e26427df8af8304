#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/transport/http_client_pool.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Asks entries on behalf of `poplarctl`; goes on to the next one when one cannot be reached.
/// Thread safety: none.
class operator_client {
public:
    /// Precondition: `entries` (host:port) is not empty.
    operator_client(std::vector<std::string> entries, duration timeout);

    /// Sends a request to the first entry that answers.
    http_exchange send(const http_request& request);

private:
    std::vector<std::string> m_entries;
    duration m_timeout;
    http_client_pool m_pool;
};

} // namespace poplarpitch
