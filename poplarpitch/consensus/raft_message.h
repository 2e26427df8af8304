#pragma once

#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/consensus/raft_membership.h"

#include <string>
#include <vector>

namespace poplarpitch {

/// Types of messages between nodes of the replicated log.
enum class raft_message_type : std::uint8_t {
    pre_vote_request = 1,
    pre_vote_response,
    vote_request,
    vote_response,
    append_request, ///< a heartbeat when it has no entries
    append_response,
    snapshot_request, ///< carries one chunk of a snapshot
    snapshot_response,
    timeout_now, ///< tells the receiver to start an election at once (leadership transfer)
};

/// One message between two nodes. The fields in use depend on the type.
struct raft_message {
    raft_message_type type = raft_message_type::append_request;
    node_id from = 0;
    node_id to = 0;
    log_term term = 0;
    log_index index = 0;     ///< votes: last index; append: index before `entries`; responses: match or hint
    log_term index_term = 0; ///< term of `index`
    std::vector<log_entry> entries; ///< append_request
    log_index commit = 0;           ///< append_request: the leader's commit index
    std::uint64_t round = 0;        ///< heartbeat round, echoed; confirms leadership for reads and leases
    bool reject = false;            ///< responses: the request was rejected
    bool forced = false;            ///< vote_request of a leadership transfer: skip the check for a leader
    std::uint64_t offset = 0;       ///< snapshot: position of `data`; response: bytes received
    std::string data;               ///< snapshot chunk
    bool last = false;              ///< snapshot: true for the final chunk
    raft_membership members;        ///< snapshot: membership at `index`

    friend bool operator==(const raft_message&, const raft_message&) = default;
};

} // namespace poplarpitch
