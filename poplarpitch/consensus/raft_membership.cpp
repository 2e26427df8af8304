#include "poplarpitch/consensus/raft_membership.h"

#include "poplarpitch/core/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace poplarpitch {
namespace {

void insert_sorted(std::vector<node_id>& ids, node_id id) {
    const auto position = std::lower_bound(ids.begin(), ids.end(), id);
    if (position == ids.end() || *position != id) {
        ids.insert(position, id);
    }
}

void remove_id(std::vector<node_id>& ids, node_id id) {
    std::erase(ids, id);
}

std::vector<node_id> parse_ids(std::string_view text) {
    std::vector<node_id> ids;
    for (const auto part : absl::StrSplit(to_absl(text), ',', absl::SkipEmpty())) {
        node_id id = 0;
        if (absl::SimpleAtoi(part, &id)) {
            insert_sorted(ids, id);
        }
    }
    return ids;
}

} // namespace

bool raft_membership::is_voter(node_id id) const {
    return std::binary_search(voters.begin(), voters.end(), id);
}

bool raft_membership::is_learner(node_id id) const {
    return std::binary_search(learners.begin(), learners.end(), id);
}

raft_membership raft_membership::with_learner(node_id id) const {
    auto next = *this;
    insert_sorted(next.learners, id);
    return next;
}

raft_membership raft_membership::with_voter(node_id id) const {
    auto next = *this;
    remove_id(next.learners, id);
    insert_sorted(next.voters, id);
    return next;
}

raft_membership raft_membership::without(node_id id) const {
    auto next = *this;
    remove_id(next.learners, id);
    remove_id(next.voters, id);
    return next;
}

std::string raft_membership::encode() const {
    return absl::StrCat(absl::StrJoin(voters, ","), ";", absl::StrJoin(learners, ","));
}

raft_membership raft_membership::decode(std::string_view bytes) {
    const auto split = bytes.find(';');
    if (split == std::string_view::npos) {
        return {};
    }
    return {parse_ids(bytes.substr(0, split)), parse_ids(bytes.substr(split + 1))};
}

} // namespace poplarpitch
