// What the log tells a new leader of the leases that were granted before it.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr worker_incarnation w1{"w1", 0};

hold_answer make_list(const start_order& start) {
    hold_answer list;
    list.running.push_back({start.run, {}, 50, 0});
    return list;
}

/// Starts a run on the only worker, which then answers no hold until it counts as silent.
start_order run_on_silent_worker(dispatch_world& world) {
    world.add_worker("w1");
    world.submit({make_step()});
    auto start = world.start_one();
    for (int number = 0; number < silent_after_failures; ++number) {
        world.wait_for_hold("w1");
        world.fail_hold("w1");
    }
    return start;
}

TEST(dispatcher_leases, are_not_counted_anew_by_each_leader) {
    dispatch_world world;
    run_on_silent_worker(world);
    const auto lease_end = world.find_worker("w1")->lease_end;
    EXPECT_TRUE(world.job_state.is_lease_suspended(w1));
    for (int leader = 0; leader < 3; ++leader) {
        world.now += seconds{1};
        world.start_leading();
        EXPECT_LE(to_milliseconds(world.find_worker("w1")->lease_end - lease_end), 1);
        EXPECT_GE(world.find_worker("w1")->lease_end, lease_end);
    }
}

TEST(dispatcher_leases, are_counted_from_now_where_the_suspension_was_not_seen) {
    dispatch_world world;
    run_on_silent_worker(world);
    const auto lease_end = world.find_worker("w1")->lease_end;
    world.now += seconds{3};
    world.scheduler.on_state_replaced();
    world.start_leading();
    EXPECT_GE(world.find_worker("w1")->lease_end, lease_end + seconds{3});
}

TEST(dispatcher_leases, are_granted_again_only_once_that_is_committed) {
    dispatch_world world;
    const auto start = run_on_silent_worker(world);
    world.wait_for_hold("w1");
    world.take<hold_order>();
    auto list = make_list(start);
    list.clock_ms = to_milliseconds(world.now.time_since_epoch());
    world.scheduler.on_hold(w1, {std::nullopt, list}, world.now);
    EXPECT_EQ(world.find_worker("w1")->granting, lease_granting::resuming);
    world.run_until_idle();
    EXPECT_FALSE(world.job_state.is_lease_suspended(w1));
    world.wait_for_hold("w1");
    const auto holds = world.take<hold_order>();
    ASSERT_FALSE(holds.empty());
    EXPECT_TRUE(holds.back().lease_end_ms.has_value());
}

TEST(dispatcher_leases, are_not_granted_by_a_new_leader_while_they_are_suspended) {
    dispatch_world world;
    const auto start = run_on_silent_worker(world);
    world.start_leading();
    world.send_heartbeat("w1");
    world.wait_for_hold("w1");
    for (const auto& hold : world.take<hold_order>()) {
        EXPECT_FALSE(hold.lease_end_ms.has_value());
    }
    world.answer_hold("w1", make_list(start));
    EXPECT_FALSE(world.job_state.is_lease_suspended(w1)) << "it has answered";
}

TEST(dispatcher_leases, stay_suspended_for_no_worker_that_is_forgotten) {
    dispatch_world world;
    run_on_silent_worker(world);
    for (int round = 0; round < 1000 && !world.job_state.get_suspended_leases().empty(); ++round) {
        if (const auto* worker = world.find_worker("w1"); worker != nullptr && worker->is_hold_pending) {
            world.fail_hold("w1");
        }
        world.advance(milliseconds{200});
    }
    EXPECT_TRUE(world.job_state.get_suspended_leases().empty());
}

} // namespace
} // namespace poplarpitch
