#include "poplarpitch/transport/connection_headers.h"

#include <algorithm>
#include <array>

namespace poplarpitch {

bool is_connection_header(const std::string& name) {
    constexpr std::array names = {"Content-Length", "Content-Type", "Transfer-Encoding",
                                  "Connection",     "Keep-Alive",   "REMOTE_ADDR",
                                  "REMOTE_PORT",    "LOCAL_ADDR",   "LOCAL_PORT"};
    return std::any_of(names.begin(), names.end(), [&](const char* known) { return name == known; });
}

} // namespace poplarpitch
