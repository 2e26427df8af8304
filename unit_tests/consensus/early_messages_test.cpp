// Checks which messages a leader may send before its own disk is synced.
#include "poplarpitch/consensus/early_messages.h"

#include "poplarpitch/consensus/raft_output.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

raft_message make_message(raft_message_type type) {
    raft_message message;
    message.type = type;
    return message;
}

raft_output make_output() {
    raft_output output;
    output.entries.push_back({});
    return output;
}

TEST(early_messages, sends_a_leaders_entries_while_its_own_disk_is_written) {
    EXPECT_TRUE(may_send_before_sync(make_output(), make_message(raft_message_type::append_request)));
}

TEST(early_messages, holds_back_responses_and_votes_until_the_state_is_on_disk) {
    for (const auto type : {raft_message_type::append_response, raft_message_type::vote_response,
                            raft_message_type::vote_request, raft_message_type::pre_vote_response,
                            raft_message_type::snapshot_response, raft_message_type::timeout_now}) {
        EXPECT_FALSE(may_send_before_sync(make_output(), make_message(type)));
    }
}

TEST(early_messages, holds_back_all_while_a_term_a_snapshot_or_a_truncation_is_written) {
    auto with_state = make_output();
    with_state.state = hard_state{};
    auto with_cut = make_output();
    with_cut.truncate_from = 7;
    auto with_snapshot = make_output();
    with_snapshot.install = raft_snapshot{};
    for (const auto& output : {with_state, with_cut, with_snapshot}) {
        EXPECT_FALSE(may_send_before_sync(output, make_message(raft_message_type::append_request)));
    }
}

} // namespace
} // namespace poplarpitch
