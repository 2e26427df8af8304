#pragma once

#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/consensus/raft_membership.h"

namespace poplarpitch::wire {
class log_entry;
class membership;
} // namespace poplarpitch::wire

namespace poplarpitch {

/// Writes an entry into its protobuf message. Thread safety: any thread.
void encode(const log_entry& entry, wire::log_entry& message);
/// Reads an entry from its protobuf message. Thread safety: any thread.
[[nodiscard]] log_entry decode(const wire::log_entry& message);
/// Writes a membership into its protobuf message. Thread safety: any thread.
void encode(const raft_membership& members, wire::membership& message);
/// Reads a membership from its protobuf message. Thread safety: any thread.
[[nodiscard]] raft_membership decode(const wire::membership& message);

} // namespace poplarpitch
