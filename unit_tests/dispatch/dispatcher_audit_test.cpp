// Detection of tasks that are stuck through a fault of the leader or a worker that violates the protocol.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

/// Answers the holds at w1 with `list` for `length`.
void answer_holds(dispatch_world& world, const hold_answer& list, duration length) {
    const auto end = world.now + length;
    while (world.now < end) {
        if (world.find_worker("w1")->is_hold_pending) {
            world.answer_hold("w1", list);
        }
        world.advance(milliseconds{100});
    }
}

TEST(dispatcher_audit, finds_nothing_where_tasks_run_wait_or_have_ended) {
    dispatch_world world;
    world.add_worker("w1", {1000, 1000, 0});
    auto second = make_step();
    second.depends_on = {0};
    world.submit({make_step(), second});
    world.submit({make_step()}); // finds no room
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0]);
    hold_answer list;
    list.running.push_back({starts[0].run, "", 10, 0});
    answer_holds(world, list, seconds{8});
    EXPECT_TRUE(world.scheduler.find_stuck(world.now).empty());
    EXPECT_EQ(world.scheduler.get_counts().stuck_tasks, 0U);
}

TEST(dispatcher_audit, finds_a_task_whose_end_a_worker_lists_under_a_number_that_it_used_before) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step(2)});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]);
    world.answer(starts[1]);
    world.wait_for_hold("w1");
    hold_answer list;
    list.running.push_back({starts[1].run, "", 10, 0});
    list.ended.push_back({1, starts[0].run, run_end::done, ""});
    world.answer_hold("w1", list);
    list.running.clear();
    list.ended = {{1, starts[1].run, run_end::done, ""}};
    answer_holds(world, list, seconds{6});
    const std::vector<stuck_task> expected = {{starts[1].run, stuck_reason::not_listed}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
    EXPECT_EQ(world.scheduler.get_counts().stuck_tasks, 1U);
}

TEST(dispatcher_audit, finds_an_end_that_is_not_committed) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0]);
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, starts[0].run, run_end::done, ""});
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
    EXPECT_EQ(world.scheduler.take_commands().size(), 1U); // the command is lost
    EXPECT_TRUE(world.scheduler.find_stuck(world.now + seconds{5}).empty()) << "a disk may hang for seconds";
    const std::vector<stuck_task> expected = {{starts[0].run, stuck_reason::end_not_committed}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now + seconds{11}), expected);
}

TEST(dispatcher_audit, finds_a_run_that_the_leader_does_not_follow) {
    dispatch_world world;
    const auto job = world.submit({make_step()});
    job_wire::job_command command; // of another leader, unknown to this one
    command.mutable_assign()->mutable_task()->set_job(job);
    command.mutable_assign()->set_run(1);
    command.mutable_assign()->set_worker("w9");
    std::vector<job_state_event> events;
    world.job_state.apply(command, events);
    const std::vector<stuck_task> expected = {{{{{job, 0, 0}, 0}, 1}, stuck_reason::not_tracked}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
}

} // namespace
} // namespace poplarpitch
