#pragma once

#include <memory>
#include <string>

namespace grpc {
class Channel;
} // namespace grpc

namespace poplarpitch {

/// Makes a gRPC channel on a connection of its own: a pooled subchannel could be the very one that has gone
/// silent. Thread safety: any thread.
[[nodiscard]] std::shared_ptr<grpc::Channel> make_fresh_channel(const std::string& address);

} // namespace poplarpitch
