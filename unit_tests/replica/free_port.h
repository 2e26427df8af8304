#pragma once

#include "poplarpitch/net/frame_socket.h"

#include <memory>
#include <string>

namespace poplarpitch {

/// Returns a port at `host` on which nothing listens, for an instance that has to know its port in advance.
/// Thread safety: the loop's thread.
inline int find_free_port(event_loop& loop, const std::string& host = "127.0.0.1") {
    frame_listener listener(loop, host, 0, [](const std::shared_ptr<frame_socket>& /*socket*/) {});
    return listener.start();
}

} // namespace poplarpitch
