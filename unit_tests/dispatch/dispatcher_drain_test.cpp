// An operator drains a data centre: nothing starts there, by whatever way a start may still come.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr const char* east = "east";
constexpr const char* west = "west";
constexpr const char* rack = "r1";
constexpr worker_amounts small{4000, 16000, 0};

void add_worker(dispatch_world& world, const std::string& id, const char* data_centre) {
    world.add_worker(id, small, rack, data_centre);
}

step_spec make_small_step(std::uint32_t count) {
    auto step = make_step(count);
    step.millicores = 1000;
    return step;
}

std::vector<start_order> submit_and_take(dispatch_world& world, std::uint32_t count) {
    world.submit({make_small_step(count)});
    return world.take<start_order>();
}

/// Makes the next leader know its workers.
void elect_leader(dispatch_world& world, const std::vector<std::string>& workers) {
    world.start_leading();
    for (const auto& id : workers) {
        world.send_heartbeat(id);
        world.wait_for_hold(id);
        world.answer_hold(id, dispatch_world::make_empty_list());
    }
}

TEST(dispatcher_drain, starts_nothing_in_a_drained_data_centre) {
    dispatch_world world;
    add_worker(world, "e", east);
    add_worker(world, "w", west);
    world.drain(east);
    const auto starts = submit_and_take(world, 8);
    EXPECT_EQ(starts.size(), 4U) << "the room of one worker";
    for (const auto& start : starts) {
        EXPECT_EQ(start.target.worker.id, "w");
    }
}

TEST(dispatcher_drain, lets_what_runs_go_on) {
    dispatch_world world;
    add_worker(world, "e", east);
    const auto starts = submit_and_take(world, 2);
    for (const auto& start : starts) {
        world.answer(start);
    }
    world.drain(east);
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<stop_order>().empty());
    EXPECT_NE(world.scheduler.find_track(starts.at(0).run), nullptr);
}

TEST(dispatcher_drain, sends_no_start_that_was_assigned_before) {
    dispatch_world world;
    add_worker(world, "e", east);
    const auto first = submit_and_take(world, 1);
    world.answer(first.at(0), order_failure::lease_already_expired); // sent again after a pause
    world.drain(east);
    world.advance(milliseconds{50});
    EXPECT_TRUE(world.take<start_order>().empty());
    EXPECT_EQ(world.scheduler.count_waiting_tasks(), 1U);
}

TEST(dispatcher_drain, undoes_a_start_without_an_answer_by_a_stop) {
    dispatch_world world;
    add_worker(world, "e", east);
    add_worker(world, "w", west);
    const auto starts = submit_and_take(world, 1);
    ASSERT_EQ(starts.size(), 1U);
    const auto& worker = starts[0].target.worker.id;
    world.answer(starts[0], order_failure::unanswered);
    world.drain(worker == "e" ? east : west);
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty()) << "the first start may still be executed";
    const auto stops = world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    world.answer(stops[0]);
    for (int list = 1; list <= 2; ++list) { // the first one was requested before the stop was answered
        world.wait_for_hold(worker);
        world.answer_hold(worker, dispatch_world::make_empty_list());
    }
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_NE(again[0].target.worker.id, worker);
}

TEST(dispatcher_drain, is_known_to_a_new_leader_before_its_first_start) {
    dispatch_world world;
    add_worker(world, "e", east);
    world.drain(east);
    elect_leader(world, {"e"});
    EXPECT_TRUE(submit_and_take(world, 1).empty());
    world.drain(east, true);
    EXPECT_EQ(world.take<start_order>().size(), 1U);
}

TEST(dispatcher_drain, covers_a_worker_that_is_first_seen_afterwards) {
    dispatch_world world;
    add_worker(world, "e1", east);
    world.drain(east);
    add_worker(world, "e2", east);
    EXPECT_TRUE(submit_and_take(world, 1).empty());
}

TEST(dispatcher_drain, places_again_once_the_order_is_withdrawn) {
    dispatch_world world;
    add_worker(world, "e", east);
    world.drain(east);
    EXPECT_TRUE(submit_and_take(world, 3).empty());
    world.drain(east, true);
    EXPECT_EQ(world.take<start_order>().size(), 3U);
}

TEST(dispatcher_drain, restarts_a_long_running_task_elsewhere) {
    dispatch_world world;
    add_worker(world, "e", east);
    auto step = make_small_step(1);
    step.long_running = true;
    world.submit({step});
    const auto start = world.start_one();
    add_worker(world, "w", west);
    world.drain(east);
    world.wait_for_hold("e");
    hold_answer list;
    list.ended.push_back({1, start.run, run_end::failed, {}});
    world.answer_hold("e", list);
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].target.worker.id, "w");
}

TEST(dispatcher_drain, refuses_new_jobs_while_no_data_centre_takes_tasks) {
    dispatch_world world;
    add_worker(world, "e", east);
    add_worker(world, "w", west);
    step_job job;
    job.id = 77;
    job.steps = {make_small_step(1)};
    job.queue.pool = world_pool;
    world.drain(east);
    world.advance(seconds{4});
    EXPECT_TRUE(world.scheduler.admit(job, world.now).is_admitted());
    world.drain(west);
    const auto decision = world.scheduler.admit(job, world.now);
    EXPECT_EQ(decision.outcome, admission::admission_outcome::data_centres_drained);
    EXPECT_GT(decision.retry_after, duration{0});
    world.drain(west, true);
    EXPECT_TRUE(world.scheduler.admit(job, world.now).is_admitted());
}

TEST(dispatcher_drain, refuses_no_job_before_all_workers_had_the_time_to_report_to_a_new_leader) {
    dispatch_world world;
    add_worker(world, "e", east);
    add_worker(world, "w", west);
    world.submit({make_small_step(20)});
    world.drain(east);
    elect_leader(world, {"e"}); // the other one reports later
    world.advance(seconds{1});
    step_job job;
    job.id = 79;
    job.steps = {make_small_step(1)};
    job.queue.pool = world_pool;
    EXPECT_TRUE(world.scheduler.admit(job, world.now).is_admitted());
}

TEST(dispatcher_drain, keeps_the_room_of_running_long_running_jobs_in_their_quota) {
    dispatch_world world;
    add_worker(world, "e", east);
    add_worker(world, "w", west);
    auto step = make_small_step(4);
    step.long_running = true;
    step.max_per_worker = 2;
    world.submit({step});
    for (const auto& start : world.take<start_order>()) {
        world.answer(start);
    }
    world.drain(east);
    step_job job;
    job.id = 78;
    job.steps = {make_small_step(1)};
    job.steps[0].long_running = true;
    job.queue.pool = world_pool;
    const auto decision = world.scheduler.admit(job, world.now);
    EXPECT_EQ(decision.reserved, 4000);
    EXPECT_EQ(decision.allowed, 4800) << "four fifths of 4 cores in the west and 2 that are used in the east";
}

TEST(dispatcher_drain, is_the_obstacle_that_a_long_wait_names) {
    dispatch_world world;
    add_worker(world, "e", east);
    world.drain(east);
    submit_and_take(world, 1);
    world.advance(seconds{4});
    world.send_heartbeat("e");
    const auto waits = world.scheduler.find_long_waits(world.now);
    ASSERT_EQ(waits.size(), 1U);
    EXPECT_EQ(waits[0].count(placement_obstacle::data_centre_drained), 1U);
}

TEST(dispatcher_drain, knows_the_data_centres_of_workers_and_orders) {
    dispatch_world world;
    add_worker(world, "e", east);
    world.drain("gone");
    EXPECT_TRUE(world.scheduler.is_data_centre_known(east));
    EXPECT_TRUE(world.scheduler.is_data_centre_known("gone")) << "the order can still be withdrawn";
    EXPECT_FALSE(world.scheduler.is_data_centre_known("typo"));
}

} // namespace
} // namespace poplarpitch
