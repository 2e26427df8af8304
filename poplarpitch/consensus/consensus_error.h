#pragma once

#include <system_error>

namespace poplarpitch {

/// Errors returned by calls on the replicated log.
enum class consensus_errc {
    not_leader = 1,       ///< this node is not the leader; retry at the leader
    overloaded,           ///< too many uncommitted bytes; retry later
    transfer_in_progress, ///< a leadership transfer is in progress
    change_in_progress,   ///< the previous membership change is not committed yet
    no_commit_in_term,    ///< the leader has not committed an entry of its own term yet
    unknown_node,         ///< the node is not a member
    not_caught_up,        ///< the learner's log is too far behind
    last_voter,           ///< the only voter cannot be removed
    already_member,       ///< the node is already a member
};

/// Returns the error category of the replicated log. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_consensus_category() noexcept;

/// Makes a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(consensus_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::consensus_errc> : std::true_type {};
