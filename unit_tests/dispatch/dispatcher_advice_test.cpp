// Queues that require advice: no start without a ticket, and few calls to the advice service.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

TEST(dispatcher_advice, starts_only_on_workers_that_the_advice_service_allows_with_their_tickets) {
    dispatch_world world;
    world.add_worker("w1");
    world.add_worker("w2");
    world.submit_with_advice({make_step(2)});
    EXPECT_TRUE(world.take<start_order>().empty());
    const auto requests = world.take<advice_request>();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].workers.size(), 2U);
    world.scheduler.on_advice(requests[0], {true, {{"w2", "ticket"}}}, world.now);
    world.run_until_idle();
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    for (const auto& start : starts) {
        EXPECT_EQ(start.target.worker.id, "w2");
        EXPECT_EQ(start.ticket, "ticket");
    }
}

TEST(dispatcher_advice, never_requests_advice_again_for_a_denied_worker) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit_with_advice({make_step()});
    const auto requests = world.take<advice_request>();
    ASSERT_EQ(requests.size(), 1U);
    world.scheduler.on_advice(requests[0], {true, {}}, world.now);
    world.advance(seconds{2});
    EXPECT_TRUE(world.take<advice_request>().empty());
    world.add_worker("w2");
    world.advance(milliseconds{200});
    const auto again = world.take<advice_request>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].workers, std::vector<worker_incarnation>{world.get_incarnation("w2")});
}

TEST(dispatcher_advice, requests_advice_again_after_an_unanswered_call_and_a_refused_ticket) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit_with_advice({make_step()});
    const auto first = world.take<advice_request>();
    ASSERT_EQ(first.size(), 1U);
    world.scheduler.on_advice(first[0], {}, world.now);
    world.advance(milliseconds{500});
    const auto second = world.take<advice_request>();
    ASSERT_EQ(second.size(), 1U);
    world.scheduler.on_advice(second[0], {true, {{"w1", "old"}}}, world.now);
    world.run_until_idle();
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0], order_failure::no_ticket);
    world.advance(milliseconds{200});
    const auto third = world.take<advice_request>();
    ASSERT_EQ(third.size(), 1U);
    world.scheduler.on_advice(third[0], {true, {{"w1", "new"}}}, world.now);
    world.run_until_idle();
    const auto last = world.take<start_order>();
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last[0].ticket, "new");
    EXPECT_EQ(last[0].run.run, 2U);
}

TEST(dispatcher_advice, uses_no_ticket_that_has_run_out) {
    dispatch_world world;
    world.add_worker("w1", {1000, 256000, 0});
    world.submit_with_advice({make_step(2)});
    const auto requests = world.take<advice_request>();
    ASSERT_EQ(requests.size(), 1U);
    world.scheduler.on_advice(requests[0], {true, {{"w1", "first"}}}, world.now);
    world.run_until_idle();
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U); // room for one
    world.answer(starts[0]);
    world.advance(seconds{10}); // valid for 3 s
    world.send_heartbeat("w1");
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, starts[0].run, run_end::done, ""});
    world.answer_hold("w1", list);
    world.advance(milliseconds{200});
    EXPECT_TRUE(world.take<start_order>().empty());
    EXPECT_EQ(world.take<advice_request>().size(), 1U);
}

} // namespace
} // namespace poplarpitch
