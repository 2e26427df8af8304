// Workers that are reserved for suspects never keep other tasks waiting while there is free capacity.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr worker_amounts small_worker = {4000, 4000, 0};
constexpr duration max_wait = seconds{3}; // of a task that could run

step_spec make_long_running(std::uint32_t count) {
    auto step = make_step(count);
    step.long_running = true;
    return step;
}

/// Takes all starts and confirms them.
std::vector<start_order> confirm_starts(dispatch_world& world) {
    auto starts = world.take<start_order>();
    for (const auto& order : starts) {
        world.answer(order);
    }
    return starts;
}

/// Advances the clock by `length` and confirms all starts. Returns the starts.
std::vector<start_order> confirm_for(dispatch_world& world, duration length) {
    std::vector<start_order> starts;
    const auto end = world.now + length;
    while (world.now < end) {
        world.advance(milliseconds{100});
        for (const auto& order : confirm_starts(world)) {
            starts.push_back(order);
        }
    }
    return starts;
}

/// Adds workers, runs a job of this step on them, and crashes its workers twice.
void crash_twice(dispatch_world& world, int workers, const step_spec& step) {
    for (int number = 1; number <= workers; ++number) {
        world.add_worker("w" + std::to_string(number), small_worker);
    }
    world.submit({step});
    for (int crash = 1; crash <= 2; ++crash) {
        const auto starts = confirm_starts(world);
        EXPECT_EQ(starts.size(), step.count);
        std::set<std::string> crashed;
        for (const auto& order : starts) {
            crashed.insert(order.target.worker.id);
        }
        world.advance(milliseconds{300});
        for (const auto& worker : crashed) {
            world.restart_with_new_id(worker, worker + "+");
        }
    }
}

std::uint32_t count_probations(const dispatch_world& world) {
    std::uint32_t count = 0;
    for (const auto& [incarnation, worker] : world.scheduler.get_workers()) {
        count += worker.probations > 0 ? 1 : 0;
    }
    return count;
}

TEST(dispatcher_probation, closes_no_worker_for_a_suspect_that_shares_it) {
    dispatch_world world;
    crash_twice(world, 4, make_long_running(8));
    EXPECT_EQ(confirm_for(world, max_wait).size(), 8U);
    EXPECT_LE(count_probations(world), 1U);
}

TEST(dispatcher_probation, lets_no_long_running_task_wait_where_only_a_kept_worker_has_room) {
    dispatch_world world;
    crash_twice(world, 1, make_long_running(1));
    ASSERT_EQ(confirm_for(world, seconds{1}).size(), 1U);
    ASSERT_EQ(count_probations(world), 1U);
    world.submit({make_long_running(1)});
    EXPECT_EQ(confirm_for(world, max_wait).size(), 1U);
}

TEST(dispatcher_probation, lets_no_job_starve_where_only_a_kept_worker_has_room) {
    dispatch_world world;
    crash_twice(world, 1, make_long_running(1));
    ASSERT_EQ(confirm_for(world, seconds{1}).size(), 1U);
    world.submit({make_step()});
    EXPECT_EQ(confirm_for(world, max_wait).size(), 1U);
}

TEST(dispatcher_probation, keeps_no_more_workers_for_a_gang_of_suspects) {
    dispatch_world world;
    auto gang = make_long_running(3);
    gang.gang = true;
    crash_twice(world, 1, gang);
    for (int number = 2; number <= 5; ++number) {
        world.add_worker("w" + std::to_string(number), small_worker);
    }
    EXPECT_EQ(confirm_for(world, max_wait).size(), 3U);
    EXPECT_LE(count_probations(world), 1U);
}

TEST(dispatcher_probation, keeps_no_more_workers_for_suspects_under_a_new_leader) {
    dispatch_world world;
    crash_twice(world, 4, make_long_running(8));
    const auto starts = confirm_for(world, max_wait);
    world.start_leading();
    std::map<std::string, hold_answer> lists;
    for (const auto& order : starts) {
        lists[order.target.worker.id].running.push_back({order.run, "", 50, 0});
    }
    for (const auto& [worker, list] : lists) {
        world.send_heartbeat(worker);
        world.wait_for_hold(worker);
        world.answer_hold(worker, list);
    }
    EXPECT_LE(count_probations(world), 1U);
    world.submit({make_long_running(4)});
    EXPECT_EQ(confirm_for(world, max_wait).size(), 4U);
}

} // namespace
} // namespace poplarpitch
