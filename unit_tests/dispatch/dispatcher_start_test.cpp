// A start whose answer is lost, or that a worker executes late, never leads to a second run.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

TEST(dispatcher_start, commits_the_assignment_before_it_sends_the_start) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].run.task.step.job, job);
    EXPECT_EQ(starts[0].run.run, 1U);
    const auto* task = world.job_state.find_task(starts[0].run.task);
    ASSERT_NE(task, nullptr);
    ASSERT_EQ(task->runs.size(), 1U);
    EXPECT_EQ(task->runs[0].worker, world.get_incarnation("w1"));
}

TEST(dispatcher_start, repeats_a_start_without_an_answer_at_the_same_worker) {
    dispatch_world world;
    world.add_worker("w1");
    world.add_worker("w2");
    world.submit({make_step()});
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0], order_failure::unanswered);
    world.advance(milliseconds{200});
    const auto second = world.take<start_order>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].run, first[0].run);
    EXPECT_EQ(second[0].target.worker.id, first[0].target.worker.id);
    EXPECT_TRUE(second[0].target.use_new_connection);
}

TEST(dispatcher_start, takes_a_run_that_ended_unheard_for_what_its_worker_lists) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0], order_failure::unanswered); // executed; the answer was lost
    world.advance(milliseconds{200});
    const auto second = world.take<start_order>();
    ASSERT_EQ(second.size(), 1U);
    world.answer(second[0], order_failure::stale_run); // the run had ended by then
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, first[0].run, run_end::done, ""});
    world.answer_hold("w1", list);
    EXPECT_TRUE(world.take<start_order>().empty());
    ASSERT_NE(world.job_state.find_job(job), nullptr);
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::completed);
}

TEST(dispatcher_start, stops_a_run_before_it_goes_elsewhere_when_an_earlier_start_may_come_late) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0], order_failure::unanswered); // it may be executed seconds later
    world.add_worker("w2");
    world.advance(milliseconds{200});
    const auto second = world.take<start_order>();
    ASSERT_EQ(second.size(), 1U);
    world.answer(second[0], order_failure::unhealthy);
    EXPECT_TRUE(world.take<start_order>().empty());
    const auto stops = world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].run, first[0].run);
    world.answer(stops[0]);
    world.advance(milliseconds{50});
    world.fail_hold("w1"); // a pending hold may have been answered before the stop
    world.advance(milliseconds{200});
    world.wait_for_hold("w1");
    world.answer_hold("w1", {});
    world.advance(seconds{1});
    const auto third = world.take<start_order>();
    ASSERT_EQ(third.size(), 1U);
    EXPECT_EQ(third[0].run.run, 2U);
}

} // namespace
} // namespace poplarpitch
