#pragma once

#include "poplarpitch/consensus/raft_message.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <functional>

namespace poplarpitch {

/// Handlers for the messages and calls that a control instance receives from peers, entries and tools. Each
/// is called on many threads concurrently and may block.
struct control_handler {
    std::function<void(raft_message)> on_message;
    std::function<wire::renew_answer(const wire::renew_request&)> on_renew;
    std::function<wire::propose_answer(const wire::propose_request&)> on_propose;
    std::function<wire::propose_batch_answer(const wire::propose_batch_request&)> on_propose_batch;
    std::function<wire::query_answer(const wire::query_request&)> on_query;
    std::function<wire::member_answer(const wire::member_request&)> on_members;
};

} // namespace poplarpitch
