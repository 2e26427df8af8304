#pragma once

#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/consensus/raft_membership.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Kinds of messages between nodes of the replicated log.
enum class raft_message_type : std::uint8_t {
    pre_vote_request = 1,
    pre_vote_response,
    vote_request,
    vote_response,
    append_request, ///< also the heartbeat, when it has no entries
    append_response,
    snapshot_request, ///< one chunk of a snapshot
    snapshot_response,
    timeout_now, ///< asks the receiver to stand for election at once (leadership transfer)
};

/// One message between two nodes. Which members count depends on the type.
struct raft_message {
    raft_message_type type = raft_message_type::append_request;
    node_id from = 0;
    node_id to = 0;
    log_term term = 0;
    log_index index = 0;     ///< votes: last index; append: index before the entries; answers: match or hint
    log_term index_term = 0; ///< term of `index`
    std::vector<log_entry> entries; ///< append_request
    log_index commit = 0;           ///< append_request: the leader's commit index
    std::uint64_t round = 0;        ///< heartbeat round, echoed; confirms leadership for reads and leases
    bool reject = false;            ///< answers
    bool forced = false;      ///< vote_request of a leadership transfer: followers skip the leader check
    std::uint64_t offset = 0; ///< snapshot: first byte of `data`; answer: bytes held
    std::string data;         ///< snapshot chunk
    bool last = false;        ///< snapshot: this is the final chunk
    raft_membership members;  ///< snapshot: membership at `index`

    friend bool operator==(const raft_message&, const raft_message&) = default;
};

} // namespace poplarpitch
