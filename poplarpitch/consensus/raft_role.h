#pragma once

#include <cstdint>

namespace poplarpitch {

/// Role of a node in the current term.
enum class raft_role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// Returns the name of a role for logs and status pages. Thread safety: any thread.
constexpr const char* get_role_name(raft_role role) {
    switch (role) {
    case raft_role::follower:
        return "follower";
    case raft_role::pre_candidate:
        return "pre_candidate";
    case raft_role::candidate:
        return "candidate";
    case raft_role::leader:
        return "leader";
    }
    return "unknown";
}

} // namespace poplarpitch
