#pragma once

#include <system_error>

namespace poplarpitch {

/// Why the replicated log refuses a call.
enum class consensus_errc {
    not_leader = 1,       ///< ask the leader
    overloaded,           ///< too many uncommitted bytes; try again later
    transfer_in_progress, ///< leadership is being handed over
    change_in_progress,   ///< the last membership change is not committed yet
    no_commit_in_term,    ///< the leader has not committed an entry of its own term yet
    unknown_node,         ///< the node is not in the membership
    not_caught_up,        ///< the learner lacks too much of the log
    last_voter,           ///< the only voter cannot be removed
    already_member,       ///< the node is in the membership already
};

/// Returns the error category of the replicated log. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_consensus_category() noexcept;

/// Makes a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(consensus_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::consensus_errc> : std::true_type {};
