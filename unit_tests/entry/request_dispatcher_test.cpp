#include "unit_tests/entry/fleet_fixture.h"

namespace poplarpitch {
namespace {

class request_dispatcher_test : public fleet_fixture {
protected:
    template <class T>
    T admit_as(const call_info& call) {
        auto decision = m_dispatcher.admit(call, m_now);
        EXPECT_TRUE(std::holds_alternative<T>(decision)) << "decision " << decision.index();
        return std::get<T>(std::move(decision));
    }
};

TEST_F(request_dispatcher_test, refuses_without_a_target) {
    EXPECT_EQ(admit_as<refusal>(make_call()).code, "no_target");
}

TEST_F(request_dispatcher_test, new_owner_waits_for_the_complete_list) {
    own();
    EXPECT_EQ(admit_as<refusal>(make_call()).code, "no_target");
    announce(make_announcement(1, true)); // under the old epoch: does not show what the old owner still sends
    EXPECT_EQ(admit_as<refusal>(make_call()).code, "no_target");
    announce(make_announcement(2, false));
    EXPECT_EQ(admit_as<refusal>(make_call()).code, "no_target");
    announce(make_announcement(2, true));
    EXPECT_EQ(admit_as<request_grant>(make_call()).epoch, 2U);
}

TEST_F(request_dispatcher_test, counts_the_old_owners_requests) {
    own();
    auto message = make_announcement(2, true);
    message.old_epoch_usage = {1, 0, 0, 0};
    announce(message);
    admit_as<request_grant>(make_call("a"));
    admit_as<wait_decision>(make_call("b"));
}

TEST_F(request_dispatcher_test, queues_when_full_and_serves_in_order) {
    own();
    announce(make_announcement(2, true));
    const auto first = admit_as<request_grant>(make_call("a"));
    admit_as<request_grant>(make_call("b"));
    const auto late = admit_as<wait_decision>(make_call("c", milliseconds{900}));
    const auto early = admit_as<wait_decision>(make_call("d", milliseconds{300}));
    m_dispatcher.finish(first, attempt_result::answered, milliseconds{5}, m_now);
    const auto served = m_dispatcher.grant_waiting(m_now);
    ASSERT_EQ(served.size(), 1U);
    EXPECT_EQ(served[0].ticket, early.ticket.id);
    m_dispatcher.cancel_wait("s", late.ticket);
    EXPECT_EQ(m_dispatcher.get_waiting_count(), 0U);
}

TEST_F(request_dispatcher_test, request_that_may_run_on_keeps_its_slot) {
    own();
    announce(make_announcement(2, true));
    const auto grant = admit_as<request_grant>(make_call("a"));
    admit_as<request_grant>(make_call("b"));
    m_dispatcher.finish(grant, attempt_result::maybe_running, {}, m_now);
    EXPECT_TRUE(m_dispatcher.grant_waiting(m_now).empty());
    admit_as<wait_decision>(make_call("c"));
    announce(make_announcement(2, false, {"a", "b"})); // it is still running
    EXPECT_EQ(m_fleet.get_free_slots("s"), 0);
    announce(make_announcement(2, false, {"b"})); // may have been in transit; only the next one counts
    announce(make_announcement(2, false, {"b"}));
    EXPECT_EQ(m_dispatcher.grant_waiting(m_now).size(), 1U);
}

TEST_F(request_dispatcher_test, retry_at_the_same_worker_keeps_and_frees_both_slots) {
    own();
    announce(make_announcement(2, true));
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto grant = admit_as<request_grant>(make_call("a"));
        m_dispatcher.finish(grant, attempt_result::maybe_running, {}, m_now);
    }
    EXPECT_EQ(m_fleet.get_free_slots("s"), 0);
    announce(make_announcement(2, false, {"a"}));
    EXPECT_EQ(m_fleet.get_free_slots("s"), 0);
    announce(make_announcement(2, false));
    announce(make_announcement(2, false));
    EXPECT_EQ(m_fleet.get_free_slots("s"), 2);
}

TEST_F(request_dispatcher_test, bounds_queue_and_tenant) {
    own();
    announce(make_announcement(2, true));
    for (int index = 0; index < 2; ++index) {
        admit_as<request_grant>(make_call(std::to_string(index)));
    }
    for (int index = 0; index < 5; ++index) {
        admit_as<wait_decision>(make_call(std::to_string(index)));
    }
    const auto refused = admit_as<refusal>(make_call());
    EXPECT_EQ(refused.code, "queue_full");
    EXPECT_GT(refused.retry_after.count(), 0);
}

TEST_F(request_dispatcher_test, refuses_requests_that_cannot_finish_in_time) {
    own();
    announce(make_announcement(2, true));
    for (int index = 0; index < 200; ++index) {
        const auto grant = admit_as<request_grant>(make_call());
        m_dispatcher.finish(grant, attempt_result::answered, milliseconds{100}, m_now);
    }
    admit_as<request_grant>(make_call("a"));
    admit_as<request_grant>(make_call("b"));
    EXPECT_EQ(admit_as<refusal>(make_call("c", milliseconds{120})).code, "too_late");
    const auto wait = admit_as<wait_decision>(make_call("d", milliseconds{500}));
    EXPECT_LT(wait.give_up_at, m_now + milliseconds{420}); // while there is still time to retry elsewhere
}

TEST_F(request_dispatcher_test, refuses_early_when_a_needed_service_is_down) {
    own();
    auto call = make_call();
    call.service = "top";
    EXPECT_EQ(admit_as<refusal>(call).code, "dependency_down");
}

// Found with 65 workers: an entry treated the needed service as down for half a second after its first
// announcements.
TEST_F(request_dispatcher_test, needed_service_is_up_with_the_first_announcement) {
    own();
    auto call = make_call();
    call.service = "top";
    m_fleet.apply_announcement(make_announcement(2, true), m_now); // no renewal since
    EXPECT_NE(admit_as<refusal>(call).code, "dependency_down");
    auto message = make_announcement(2, false);
    message.is_leaving = true;
    m_fleet.apply_announcement(message, m_now);
    EXPECT_EQ(admit_as<refusal>(call).code, "dependency_down");
}

TEST_F(request_dispatcher_test, forwards_once_to_the_entry_with_free_slots) {
    own();
    remote_entry other{"e2", "e2:1", true, {{"s", {3, 8}}}};
    m_dispatcher.set_entries({other});
    EXPECT_EQ(admit_as<forward_decision>(make_call()).entry, "e2");
    auto forwarded = make_call();
    forwarded.is_forwarded = true;
    EXPECT_EQ(admit_as<refusal>(forwarded).code, "no_target");
}

TEST_F(request_dispatcher_test, leaving_worker_gets_nothing_new) {
    own();
    announce(make_announcement(2, true));
    auto message = make_announcement(2, false);
    message.is_leaving = true;
    announce(message);
    EXPECT_EQ(admit_as<refusal>(make_call()).code, "no_target");
}

TEST_F(request_dispatcher_test, late_announcement_does_not_undo_a_newer_one) {
    own();
    const auto old = make_announcement(2, true);
    auto leaving = make_announcement(2, true);
    leaving.is_leaving = true;
    announce(leaving);
    announce(old);
    EXPECT_EQ(admit_as<refusal>(make_call()).code, "no_target");
}

TEST_F(request_dispatcher_test, restarted_process_closes_the_ledger_until_control_knows_it) {
    own();
    announce(make_announcement(2, true));
    auto message = make_announcement(2, true);
    message.incarnation = 78;
    announce(message);
    EXPECT_EQ(admit_as<refusal>(make_call()).code, "no_target");
}

TEST_F(request_dispatcher_test, quarantines_a_worker_that_fails_everything) {
    own();
    announce(make_announcement(2, true));
    for (int index = 0; index < 5; ++index) {
        const auto grant = admit_as<request_grant>(make_call());
        m_dispatcher.finish(grant, attempt_result::failed, milliseconds{1}, m_now);
    }
    EXPECT_EQ(m_fleet.get_free_slots("s"), 0);
    m_now += seconds{6};
    m_fleet.tick(m_now);
    EXPECT_EQ(m_fleet.get_free_slots("s"), 2);
}

} // namespace
} // namespace poplarpitch
