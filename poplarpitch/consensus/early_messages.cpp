#include "poplarpitch/consensus/early_messages.h"

#include "poplarpitch/consensus/raft_output.h"

namespace poplarpitch {

bool may_send_before_sync(const raft_output& output, const raft_message& message) {
    const bool only_appends =
        !output.state.has_value() && !output.install.has_value() && output.truncate_from == 0;
    return only_appends && message.type == raft_message_type::append_request;
}

} // namespace poplarpitch
