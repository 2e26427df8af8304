#include "poplarpitch/storage/raft_message_codec.h"

#include "poplarpitch/storage/raft_codec.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {

void encode(const raft_message& message, wire::raft_message& target) {
    target.set_type(static_cast<std::uint32_t>(message.type));
    target.set_from(message.from);
    target.set_to(message.to);
    target.set_term(message.term);
    target.set_log_index(message.index);
    target.set_log_term(message.index_term);
    for (const auto& entry : message.entries) {
        encode(entry, *target.add_entries());
    }
    target.set_commit(message.commit);
    target.set_round(message.round);
    target.set_reject(message.reject);
    target.set_forced(message.forced);
    target.set_offset(message.offset);
    target.set_data(message.data);
    target.set_last(message.last);
    encode(message.members, *target.mutable_members());
}

raft_message decode(const wire::raft_message& source) {
    raft_message message;
    message.type = static_cast<raft_message_type>(source.type());
    message.from = source.from();
    message.to = source.to();
    message.term = source.term();
    message.index = source.log_index();
    message.index_term = source.log_term();
    for (const auto& entry : source.entries()) {
        message.entries.push_back(decode(entry));
    }
    message.commit = source.commit();
    message.round = source.round();
    message.reject = source.reject();
    message.forced = source.forced();
    message.offset = source.offset();
    message.data = source.data();
    message.last = source.last();
    message.members = decode(source.members());
    return message;
}

} // namespace poplarpitch
