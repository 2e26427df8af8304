#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// The voters and learners of the replicated log.
struct raft_membership {
    std::vector<node_id> voters;   ///< sorted
    std::vector<node_id> learners; ///< sorted; receive entries but have no vote

    friend auto operator<=>(const raft_membership&, const raft_membership&) = default;

    /// Returns true if `id` is a voter. Thread safety: any thread.
    [[nodiscard]] bool is_voter(node_id id) const;
    /// Returns true if `id` is a learner. Thread safety: any thread.
    [[nodiscard]] bool is_learner(node_id id) const;
    /// Returns true if `id` is a voter or a learner. Thread safety: any thread.
    [[nodiscard]] bool has(node_id id) const { return is_voter(id) || is_learner(id); }
    /// Returns the number of voters that form a majority. Thread safety: any thread.
    [[nodiscard]] std::size_t get_quorum() const { return voters.size() / 2 + 1; }

    /// Returns this membership with `id` added as a learner. Thread safety: any thread.
    [[nodiscard]] raft_membership with_learner(node_id id) const;
    /// Returns this membership with `id` as a voter and not as a learner. Thread safety: any thread.
    [[nodiscard]] raft_membership with_voter(node_id id) const;
    /// Returns this membership without `id`. Thread safety: any thread.
    [[nodiscard]] raft_membership without(node_id id) const;

    /// Encodes the membership as the payload of a log entry. Thread safety: any thread.
    [[nodiscard]] std::string encode() const;
    /// Decodes the output of `encode`. Returns an empty membership when `bytes` is not one. Thread safety:
    /// any thread.
    [[nodiscard]] static raft_membership decode(std::string_view bytes);
};

} // namespace poplarpitch
