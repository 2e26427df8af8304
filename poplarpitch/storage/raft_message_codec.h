#pragma once

#include "poplarpitch/consensus/raft_message.h"

namespace poplarpitch::wire {
class raft_message;
} // namespace poplarpitch::wire

namespace poplarpitch {

/// Writes a message of the replicated log into its protobuf message. Thread safety: any thread.
void encode(const raft_message& message, wire::raft_message& target);
/// Reads a message of the replicated log from its protobuf message. Thread safety: any thread.
[[nodiscard]] raft_message decode(const wire::raft_message& source);

} // namespace poplarpitch
