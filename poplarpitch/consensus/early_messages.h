#pragma once

namespace poplarpitch {

struct raft_message;
struct raft_output;

/// Returns true if `message`, which is part of `output`, may be sent before `output` is synced to disk.
///
/// A leader may send entries while its own disk still writes them, so that a commit waits for one sync
/// instead of two in a row. This is safe because the leader processes no response before its sync has ended,
/// so its own copy is never counted too early. A leader that loses entries after sending them no longer leads
/// in their term. All other messages report state that this node must not forget: a term, a vote or stored
/// entries. Thread safety: any thread.
[[nodiscard]] bool may_send_before_sync(const raft_output& output, const raft_message& message);

} // namespace poplarpitch
