#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/transport/control_handler.h"

#include <memory>
#include <string>

namespace poplarpitch {

/// The gRPC server of a control instance, for its peers and for entries and tools.
class control_server {
public:
    /// `cluster`: messages of peers from another cluster are rejected.
    control_server(std::string cluster, control_handler handler);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    /// Listens on `host:port`; with port 0, on a free port. Returns the port. Precondition: called once.
    /// Thread safety: none.
    result<int> start(const std::string& host, int port);
    /// Stops at once: calls in progress fail. Thread safety: any thread.
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace poplarpitch
