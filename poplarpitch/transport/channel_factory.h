#pragma once

#include <memory>
#include <string>

namespace grpc {
class Channel;
} // namespace grpc

namespace poplarpitch {

/// Makes a gRPC channel with a connection of its own. gRPC's shared subchannel pool is not used, because it
/// could return the connection that no longer delivers data. Thread safety: any thread.
[[nodiscard]] std::shared_ptr<grpc::Channel> make_fresh_channel(const std::string& address);

} // namespace poplarpitch
