#include "poplarpitch/storage/raft_codec.h"

#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {

void encode(const log_entry& entry, wire::log_entry& message) {
    message.set_index(entry.index);
    message.set_term(entry.term);
    message.set_kind(static_cast<std::uint32_t>(entry.kind));
    message.set_payload(entry.payload);
}

log_entry decode(const wire::log_entry& message) {
    return {message.index(), message.term(), static_cast<entry_kind>(message.kind()), message.payload()};
}

void encode(const raft_membership& members, wire::membership& message) {
    message.mutable_voters()->Assign(members.voters.begin(), members.voters.end());
    message.mutable_learners()->Assign(members.learners.begin(), members.learners.end());
}

raft_membership decode(const wire::membership& message) {
    return {{message.voters().begin(), message.voters().end()},
            {message.learners().begin(), message.learners().end()}};
}

} // namespace poplarpitch
