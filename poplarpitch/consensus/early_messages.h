#pragma once

namespace poplarpitch {

struct raft_message;
struct raft_output;

/// Returns true when a message of `output` may be sent before what `output` asks for is on this node's disk.
///
/// A leader's entries may reach the others' disks at the same time as its own, which spares one sync of two
/// for each commit: nothing counts its own copy before its sync has ended, since the node takes no answer
/// until then, and a leader that forgets entries it has sent leads no more in their term. Everything else
/// tells of what this node must remember: a term, a vote, entries that it holds. Thread safety: any thread.
[[nodiscard]] bool may_send_before_sync(const raft_output& output, const raft_message& message);

} // namespace poplarpitch
