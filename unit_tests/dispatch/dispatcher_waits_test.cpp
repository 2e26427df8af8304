// Detection of tasks that wait although there is room, with the obstacle at each worker.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

TEST(dispatcher_waits, reports_what_keeps_a_task_from_each_worker) {
    dispatch_world world;
    world.add_worker("full", {1000, 1000, 0});
    world.add_worker("leaves");
    world.add_worker("silent");
    world.submit({make_step()});
    ASSERT_EQ(world.start_one().target.worker.id, "full");
    world.send_heartbeat("leaves", true, 60'000);
    world.submit({make_step()});
    ASSERT_EQ(world.start_one().target.worker.id, "silent");
    world.wait_for_hold("silent");
    world.fail_hold("silent");
    const auto waits = world.submit({make_step()});
    world.advance(seconds{2});
    EXPECT_TRUE(world.scheduler.find_long_waits(world.now).empty());
    world.advance(seconds{2});
    const auto found = world.scheduler.find_long_waits(world.now);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].task.step.job, waits);
    EXPECT_EQ(found[0].workers, 3U);
    EXPECT_EQ(found[0].with_room, 1U) << "one that leaves has no room";
    EXPECT_EQ(found[0].count(placement_obstacle::leaving), 1U);
    EXPECT_EQ(found[0].count(placement_obstacle::silent), 1U);
    EXPECT_EQ(found[0].count(placement_obstacle::room), 1U);
    EXPECT_EQ(found[0].with_room_by_obstacle[static_cast<std::size_t>(placement_obstacle::silent)], 1U);
    EXPECT_EQ(found[0].most_free_millicores, 0) << "neither the silent worker nor the one that leaves counts";
}

TEST(dispatcher_waits, finds_nothing_where_no_worker_that_stays_has_room) {
    dispatch_world world;
    world.add_worker("full", {1000, 1000, 0});
    world.add_worker("leaves");
    world.send_heartbeat("leaves", true, 60'000);
    world.submit({make_step(2)});
    ASSERT_EQ(world.take<start_order>().size(), 1U);
    world.advance(seconds{4});
    EXPECT_TRUE(world.scheduler.find_long_waits(world.now).empty());
}

} // namespace
} // namespace poplarpitch
