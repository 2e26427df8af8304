// Detection of tasks that wait although there is room, with the obstacle at each worker.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/log_capture.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <string>

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

TEST(dispatcher_waits, tells_that_a_job_counts_as_starving) {
    dispatch_world world;
    world.add_worker("w1", {10000, 1000, 0});
    auto step = make_step();
    step.required_label = "none has it";
    world.submit({step});
    world.advance(seconds{4});
    const auto found = world.scheduler.find_long_waits(world.now);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].job.starving, starving_state::starving);
    EXPECT_EQ(found[0].job.still, seconds{4});
    EXPECT_EQ(found[0].job.pool_core_percent, 0);
}

TEST(dispatcher_waits, tells_how_many_runs_keep_a_job_from_starving_and_how_far_they_are) {
    dispatch_world world;
    world.add_worker("w1", {64000, 1000, 0});
    world.add_worker("w2", {64000, 1000, 0});
    auto step = make_step(3);
    step.max_per_worker = 1;
    const auto job = world.submit({step});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]); // the other one has no answer
    const auto answered = world.now;
    world.advance(seconds{4});
    const auto found = world.scheduler.find_long_waits(world.now);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].task.step.job, job);
    EXPECT_EQ(found[0].count(placement_obstacle::spread) + found[0].count(placement_obstacle::silent), 2U);
    EXPECT_EQ(found[0].job.starving, starving_state::has_runs);
    EXPECT_EQ(found[0].job.count(held_run_state::running), 1U);
    EXPECT_EQ(found[0].job.count(held_run_state::starting), 1U);
    EXPECT_EQ(found[0].job.still, world.now - answered) << "no list has shown its run since";
    EXPECT_EQ(found[0].job.pool_core_percent, 1);
    EXPECT_EQ(found[0].job.pool_memory_percent, 10);
    world.start_leading();
    world.advance(seconds{4});
    const auto adopted = world.scheduler.find_still_jobs(world.now);
    ASSERT_EQ(adopted.size(), 1U);
    EXPECT_EQ(adopted[0].activity.count(held_run_state::adopting), 2U);
    EXPECT_EQ(adopted[0].waiting, 1U);
}

TEST(dispatcher_waits, tells_that_a_pool_is_too_full_for_a_job_to_starve) {
    dispatch_world world;
    world.add_worker("w1", {1500, 1000, 0});
    world.submit({make_step()});
    world.start_one();
    auto step = make_step();
    step.millicores = 100;
    step.required_label = "none has it";
    world.submit({step});
    world.advance(seconds{4});
    const auto found = world.scheduler.find_long_waits(world.now);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].job.starving, starving_state::pool_in_use);
    EXPECT_EQ(found[0].job.pool_core_percent, 66);
}

TEST(dispatcher_waits, finds_a_job_that_stands_still_where_no_worker_has_room) {
    dispatch_world world;
    world.add_worker("full", {1000, 1000, 0});
    const auto first = world.submit({make_step()});
    const auto started = world.start_one();
    const auto second = world.submit({make_step()});
    hold_answer list;
    list.running.push_back({started.run, "", 10, 0});
    for (const auto end = world.now + seconds{5}; world.now < end; world.advance(milliseconds{100})) {
        if (world.find_worker("full")->is_hold_pending) {
            world.answer_hold("full", list);
        }
    }
    EXPECT_TRUE(world.scheduler.find_long_waits(world.now).empty()) << "no worker has room";
    const auto found = world.scheduler.find_still_jobs(world.now);
    ASSERT_EQ(found.size(), 1U) << "lists show the run of job " << first;
    EXPECT_EQ(found[0].job, second);
    EXPECT_EQ(found[0].waiting, 1U);
    EXPECT_EQ(found[0].activity.starving, starving_state::pool_in_use);
    EXPECT_GE(found[0].activity.still, seconds{5});
}

TEST(dispatcher_waits, takes_no_job_for_still_that_has_nothing_to_do_yet) {
    dispatch_world world;
    world.add_worker("w1");
    job_schedule schedule;
    schedule.first_ms = world.wall_ms + 60'000;
    schedule.interval_ms = 60'000;
    schedule.count = 2;
    auto step = make_step();
    step.required_label = "none has it";
    world.submit_timed({step}, schedule);
    world.advance(seconds{59});
    EXPECT_TRUE(world.scheduler.find_still_jobs(world.now).empty());
    world.advance(seconds{2}); // its first occurrence is due
    EXPECT_TRUE(world.scheduler.find_still_jobs(world.now).empty());
    world.advance(seconds{4});
    EXPECT_EQ(world.scheduler.find_still_jobs(world.now).size(), 1U);
}

TEST(dispatcher_waits, logs_a_few_jobs_that_stand_still_each_second) {
    dispatch_world world;
    for (int job = 0; job < 20; ++job) {
        world.submit({make_step()});
    }
    world.advance(milliseconds{3500});
    const log_capture capture;
    world.advance(seconds{1});
    world.advance(milliseconds{100});
    const auto lines = capture.find("job_stands_still");
    ASSERT_EQ(lines.size(), 5U);
    EXPECT_NE(lines[0].find("waiting=1 starving=pool_in_use"), std::string::npos) << lines[0];
}

} // namespace
} // namespace poplarpitch
