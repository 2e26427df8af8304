// Workers that become silent, crash, leave or restart: every run is given up once, and only when it has
// surely ended.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

void fail_holds(dispatch_world& world, const std::string& worker, duration length) {
    const auto end = world.now + length;
    while (world.now < end) {
        const auto* found = world.find_worker(worker);
        if (found != nullptr && found->is_hold_pending) {
            world.fail_hold(worker);
        }
        world.advance(milliseconds{50});
    }
}

TEST(dispatcher_loss, waits_for_the_lease_of_a_silent_worker_before_it_starts_a_run_again) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.start_one();
    world.add_worker("w2");
    const dispatch_settings settings;
    fail_holds(world, "w1", settings.lease - seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty());
    fail_holds(world, "w1", seconds{3});
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].target.worker.id, "w2");
    EXPECT_EQ(again[0].run.task, first.run.task);
    EXPECT_GT(again[0].run.run, first.run.run);
}

TEST(dispatcher_loss, grants_no_lease_to_a_worker_that_does_not_answer) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    fail_holds(world, "w1", seconds{1});
    world.take<hold_order>();
    fail_holds(world, "w1", seconds{1});
    const auto holds = world.take<hold_order>();
    ASSERT_FALSE(holds.empty());
    for (const auto& hold : holds) {
        EXPECT_FALSE(hold.lease_end_ms.has_value());
    }
}

TEST(dispatcher_loss, starts_a_run_again_at_once_when_another_life_answers) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.add_worker("w2");
    world.wait_for_hold("w1");
    world.fail_hold("w1", order_failure::other_incarnation);
    world.advance(milliseconds{20});
    EXPECT_EQ(world.take<start_order>().size(), 1U);
}

TEST(dispatcher_loss, ignores_the_capacity_in_a_heartbeat_that_was_overtaken) {
    dispatch_world world;
    world.add_worker("w1");
    auto report = world.find_worker("w1")->report;
    report.sequence = 7;
    report.capacity = {1000, 1000, 0};
    world.scheduler.on_heartbeat(report, world.now);
    auto late = report;
    late.sequence = 6;
    late.capacity = {64000, 256000, 0};
    world.scheduler.on_heartbeat(late, world.now);
    EXPECT_EQ(world.find_worker("w1")->report.capacity, report.capacity);
    EXPECT_EQ(world.find_worker("w1")->report.sequence, 7U);
}

TEST(dispatcher_loss, ignores_a_heartbeat_of_a_life_that_has_ended) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.wait_for_hold("w1");
    world.fail_hold("w1", order_failure::other_incarnation);
    world.send_heartbeat("w1"); // delayed in the network
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty());
}

TEST(dispatcher_loss, starts_nothing_on_a_draining_worker_and_moves_long_running_tasks) {
    dispatch_world world;
    world.add_worker("w1");
    auto long_running_step = make_step();
    long_running_step.long_running = true;
    world.submit({long_running_step});
    const auto first = world.start_one();
    world.send_heartbeat("w1", true, 2000);
    EXPECT_TRUE(world.job_state.is_retired(world.get_incarnation("w1")));
    const auto stops = world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    world.answer(stops[0]);
    world.submit({make_step()});
    EXPECT_TRUE(world.take<start_order>().empty());
    world.add_worker("w2");
    world.advance(milliseconds{20});
    EXPECT_EQ(world.take<start_order>().size(), 1U); // of the new job; the stopped run is not listed yet
    world.wait_for_hold("w1");
    world.fail_hold("w1"); // answered before the stop
    world.advance(milliseconds{200});
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, first.run, run_end::stopped, "saved"});
    world.answer_hold("w1", list);
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].target.worker.id, "w2");
    EXPECT_EQ(again[0].checkpoint, "saved");
}

// An end whose checkpoint could not be parsed in the log was never recorded, and neither were those beside
// it.
TEST(dispatcher_loss, records_an_end_without_a_checkpoint_that_is_not_utf8) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.start_one();
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, first.run, run_end::stopped, "saved\xff"});
    world.answer_hold("w1", list);
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].run.run, 2U);
    EXPECT_EQ(again[0].checkpoint, "");
}

TEST(dispatcher_loss, sends_no_start_to_a_worker_that_said_it_leaves_while_the_assignment_was_committed) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0], order_failure::unanswered); // it may be executed
    world.send_heartbeat("w1", true, 2000);
    world.advance(milliseconds{300});
    EXPECT_TRUE(world.take<start_order>().empty()); // not repeated
    EXPECT_EQ(world.take<stop_order>().size(), 1U); // but undone by a stop
}

TEST(dispatcher_loss, a_new_leader_adopts_what_runs_and_restarts_what_never_came) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step(2)});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]); // the other start is lost with the leader
    world.start_leading();
    world.send_heartbeat("w1");
    world.wait_for_hold("w1");
    EXPECT_TRUE(world.take<start_order>().empty());
    hold_answer list;
    list.running.push_back({starts[0].run, "", 10, 0});
    world.answer_hold("w1", list);
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].run.task, starts[1].run.task);
    EXPECT_EQ(again[0].run.run, 2U);
    EXPECT_EQ(again[0].target.fence, world.term);
}

TEST(dispatcher_loss, stops_a_run_that_the_book_does_not_know) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.start_one();
    world.wait_for_hold("w1");
    auto stray = first.run;
    stray.task.step.job = 77;
    hold_answer list;
    list.running.push_back({first.run, "", 10, 0});
    list.running.push_back({stray, "", 10, 0});
    world.answer_hold("w1", list);
    const auto stops = world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].run, stray);
}

/// Starts two tasks on w1 and lists the end of the first, which is not committed yet.
void list_one_end_of_two_runs(dispatch_world& world) {
    world.add_worker("w1");
    world.submit({make_step(2)});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]);
    world.answer(starts[1]);
    world.wait_for_hold("w1");
    static_cast<void>(world.take<hold_order>());
    hold_answer list;
    list.running.push_back({starts[1].run, "", 10, 0});
    list.ended.push_back({1, starts[0].run, run_end::done, ""});
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
}

TEST(dispatcher_loss, acknowledges_an_end_only_after_it_is_committed) {
    dispatch_world world;
    list_one_end_of_two_runs(world);
    EXPECT_EQ(world.find_worker("w1")->acknowledged_up_to, 0U);
    world.run_until_idle();
    EXPECT_EQ(world.find_worker("w1")->acknowledged_up_to, 1U);
}

TEST(dispatcher_loss, sends_the_next_hold_only_once_the_listed_ends_are_committed) {
    dispatch_world world;
    list_one_end_of_two_runs(world);
    const auto commands = world.scheduler.take_commands(); // a slow commit
    world.advance(milliseconds{100});
    EXPECT_TRUE(world.take<hold_order>().empty()); // it would return at once with the same end
    for (const auto& command : commands) {
        std::vector<job_state_event> events;
        world.job_state.apply(command, events);
        for (const auto& event : events) {
            world.scheduler.on_event(event, world.now, world.wall_ms);
        }
    }
    world.advance(milliseconds{10});
    const auto holds = world.take<hold_order>();
    ASSERT_EQ(holds.size(), 1U);
    EXPECT_EQ(holds[0].acknowledged_up_to, 1U);
    EXPECT_GT(holds[0].wait, duration{0});
}

TEST(dispatcher_loss, gives_up_what_ran_on_a_worker_that_is_gone_though_a_start_there_is_still_repeated) {
    dispatch_world world;
    world.add_worker("w1");
    const auto long_running_step = [] {
        auto step = make_step();
        step.long_running = true;
        return step;
    }();
    world.submit({long_running_step});
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0]);
    world.submit({make_step()});
    const auto unanswered = world.take<start_order>();
    ASSERT_EQ(unanswered.size(), 1U);
    world.add_worker("w2");
    world.answer(unanswered[0], order_failure::unreachable); // the worker crashed before it arrived
    bool is_elsewhere = false;
    for (int turn = 0; turn < 120 && !is_elsewhere; ++turn) {
        world.advance(milliseconds{100});
        for (const auto& order : world.take<hold_order>()) {
            if (order.target.worker.id == "w1") {
                world.fail_hold("w1", order_failure::unreachable);
            } else {
                world.answer_hold(order.target.worker.id, dispatch_world::make_empty_list());
            }
        }
        for (const auto& order : world.take<start_order>()) {
            if (order.target.worker.id == "w1") {
                world.answer(order, order_failure::unreachable);
            } else {
                is_elsewhere = is_elsewhere || order.run.task == first[0].run.task;
            }
        }
    }
    EXPECT_TRUE(is_elsewhere) << "its lease never lapsed";
}

TEST(dispatcher_loss, renews_leases_while_ends_cannot_be_committed) {
    dispatch_world world;
    list_one_end_of_two_runs(world);
    static_cast<void>(world.scheduler.take_commands());
    world.advance(seconds{1});
    const auto holds = world.take<hold_order>();
    ASSERT_EQ(holds.size(), 1U);
    EXPECT_TRUE(holds[0].lease_end_ms.has_value());
    EXPECT_EQ(holds[0].acknowledged_up_to, 0U);
}

// A leader was killed 2 s after four workers had crashed. The next leader knew these incarnations only by id,
// from the log, and had no address to call. Although the machines restarted a second later, the forty tasks
// that had run there waited for the whole lease, 7.4 s, before they were started again:
//   event=role_changed role=follower term=2     (24.7 s)
//   four workers crash within 1 ms     (32.2 s: all leases ended together)
TEST(dispatcher_loss, a_new_leader_calls_the_logged_address_of_an_incarnation_it_never_heard_from) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.start_leading();
    const auto led_at = world.now;
    world.add_worker("w2");
    world.restart_with_new_id("w1", "w1+");
    world.advance(milliseconds{20});
    EXPECT_EQ(world.take<start_order>().size(), 1U);
    EXPECT_LT(world.now - led_at, seconds{1});
}

} // namespace
} // namespace poplarpitch
