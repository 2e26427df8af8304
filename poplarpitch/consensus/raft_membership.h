#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Who votes on the log and who only receives it.
struct raft_membership {
    std::vector<node_id> voters;   ///< sorted
    std::vector<node_id> learners; ///< sorted; receive entries, do not count

    friend auto operator<=>(const raft_membership&, const raft_membership&) = default;

    /// Returns true when `id` votes. Thread safety: any thread.
    [[nodiscard]] bool is_voter(node_id id) const;
    /// Returns true when `id` is a learner. Thread safety: any thread.
    [[nodiscard]] bool is_learner(node_id id) const;
    /// Returns true when `id` votes or learns. Thread safety: any thread.
    [[nodiscard]] bool has(node_id id) const { return is_voter(id) || is_learner(id); }
    /// Returns how many voters make a majority. Thread safety: any thread.
    [[nodiscard]] std::size_t get_quorum() const { return voters.size() / 2 + 1; }

    /// Returns this membership with `id` added as a learner. Thread safety: any thread.
    [[nodiscard]] raft_membership with_learner(node_id id) const;
    /// Returns this membership with `id` as a voter. Thread safety: any thread.
    [[nodiscard]] raft_membership with_voter(node_id id) const;
    /// Returns this membership without `id`. Thread safety: any thread.
    [[nodiscard]] raft_membership without(node_id id) const;

    /// Returns the bytes of a log entry's payload. Thread safety: any thread.
    [[nodiscard]] std::string encode() const;
    /// Reads what `encode` wrote; an empty membership when the bytes are not one. Thread safety: any thread.
    [[nodiscard]] static raft_membership decode(std::string_view bytes);
};

} // namespace poplarpitch
