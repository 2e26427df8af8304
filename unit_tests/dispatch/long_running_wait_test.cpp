// Ways in which a long-running task may stand still for too long, one test each. The bound is always that of
// the rule: 6 s and 3 s after the last run, with 7 s without a disruption.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/long_running_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::uint64_t seed = 1;
constexpr duration placing_time = seconds{10}; // until all long-running tasks run
constexpr duration judged_time = seconds{25};  // of calm, in which a task that waits too long is found
constexpr duration lease_time =
    milliseconds{7400}; // about what a leader waits for the lease of a lost worker

step_spec make_long_running(std::uint32_t count, std::int64_t millicores, std::uint32_t max_per_worker = 0) {
    auto step = make_step(count);
    step.long_running = true;
    step.millicores = millicores;
    step.max_per_worker = max_per_worker;
    return step;
}

simulated_disruption make(disruption_kind kind, duration length = {}) {
    return {kind, {}, length, 0};
}

/// Runs the world and checks that no task stood still for longer than allowed.
void expect_no_stall(long_running_world& world) {
    world.run(judged_time);
    EXPECT_GT(world.get_watch().count_tasks(), 0U);
    for (const auto& stalled : world.get_watch().get_stalled()) {
        ADD_FAILURE() << describe(stalled);
    }
    EXPECT_TRUE(world.get_violations().empty()) << world.get_violations().front();
}

std::vector<std::size_t> find_other_workers(std::size_t host, std::size_t count) {
    std::vector<std::size_t> workers(count);
    std::iota(workers.begin(), workers.end(), 0U);
    std::erase(workers, host);
    return workers;
}

/// Loses the workers of four long-running tasks, and a leader `leader_loss` later for `outage`.
void lose_workers_and_leader(const long_running_world_settings& settings, duration leader_loss,
                             duration outage) {
    SCOPED_TRACE("leader lost " + std::to_string(to_milliseconds(leader_loss)) + " ms after the workers");
    long_running_world world(settings, seed);
    const auto job = world.submit(make_long_running(4, 2000, 1));
    world.run(placing_time);
    world.disrupt(make(disruption_kind::loss_with_reset), world.find_hosts(job));
    world.run(leader_loss);
    world.disrupt(make(disruption_kind::leader_change, outage), {});
    expect_no_stall(world);
}

/// Loses the worker of a long-running task, and `moment` later in the way of `kind` the worker that is chosen
/// for its next run.
void lose_next_worker(disruption_kind kind, duration moment) {
    SCOPED_TRACE("next worker lost after " + std::to_string(to_milliseconds(moment)) + " ms");
    long_running_world_settings settings;
    settings.workers = 4;
    settings.fill = 0;
    long_running_world world(settings, seed);
    const auto job = world.submit(make_long_running(1, 2000));
    world.run(placing_time);
    const auto hosts = world.find_hosts(job);
    ASSERT_EQ(hosts.size(), 1U);
    world.disrupt(make(disruption_kind::loss_with_reset), hosts);
    world.run(moment);
    world.disrupt(make(kind), {find_other_workers(hosts.front(), 4).front()}); // the first one is chosen
    expect_no_stall(world);
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_workers_are_lost_without_a_reset) {
    for (duration moment{0}; moment < seconds{1}; moment += milliseconds{130}) {
        SCOPED_TRACE("lost " + std::to_string(to_milliseconds(moment)) + " ms later");
        long_running_world world({}, seed);
        const auto job = world.submit(make_long_running(8, 2000, 1));
        world.run(placing_time + moment);
        world.disrupt(make(disruption_kind::loss), world.find_hosts(job));
        expect_no_stall(world);
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_the_leader_is_lost_with_workers) {
    lose_workers_and_leader({}, duration{0}, duration{0});
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_a_new_leader_starts_after_the_loss) {
    long_running_world_settings settings;
    settings.reports_start_times = false; // such a worker's adopted runs wait for the shorter lease
    lose_workers_and_leader(settings, duration{0}, seconds{3});
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_the_leader_is_lost_while_it_waits) {
    for (duration moment = seconds{1}; moment < seconds{7}; moment += milliseconds{700}) {
        lose_workers_and_leader({}, moment, duration{0});
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_leaders_are_lost_one_after_the_other) {
    for (const bool reports_start_times : {false, true}) {
        long_running_world_settings settings;
        settings.reports_start_times = reports_start_times;
        long_running_world world(settings, seed);
        const auto job = world.submit(make_long_running(4, 2000, 1));
        world.run(placing_time);
        world.disrupt(make(disruption_kind::loss_with_reset), world.find_hosts(job));
        for (int number = 0; number < 3; ++number) {
            world.run(seconds{5});
            world.disrupt(make(disruption_kind::leader_change, milliseconds{500}), {});
        }
        expect_no_stall(world);
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_its_worker_leaves_without_a_leader) {
    long_running_world world({}, seed);
    const auto job = world.submit(make_long_running(1, 2000));
    world.run(placing_time);
    world.disrupt(make(disruption_kind::leader_change, seconds{3}), {});
    world.disrupt(make(disruption_kind::drain, seconds{2}), world.find_hosts(job));
    expect_no_stall(world);
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_workers_without_runs_are_lost_too) {
    for (const auto kind : {disruption_kind::loss, disruption_kind::loss_with_reset}) {
        SCOPED_TRACE(get_disruption_name(kind));
        long_running_world_settings settings;
        settings.workers = 6;
        settings.fill = 0;
        long_running_world world(settings, seed);
        const auto job = world.submit(make_long_running(1, 2000));
        world.run(placing_time);
        const auto hosts = world.find_hosts(job);
        ASSERT_EQ(hosts.size(), 1U);
        auto idle = find_other_workers(hosts.front(), 6);
        idle.resize(3); // two others stay
        world.disrupt(make(disruption_kind::loss_with_reset), hosts);
        world.disrupt(make(kind), idle);
        expect_no_stall(world);
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_its_start_finds_no_connection) {
    for (duration moment = seconds{5}; moment < seconds{9}; moment += milliseconds{100}) {
        lose_next_worker(disruption_kind::loss_with_reset, moment);
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_its_start_goes_to_a_worker_just_lost) {
    for (duration moment = seconds{5}; moment < seconds{9}; moment += milliseconds{100}) {
        lose_next_worker(disruption_kind::loss, moment);
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_its_first_start_gets_no_answer) {
    for (const bool reports_start_times : {false, true}) {
        for (duration moment{0}; moment < seconds{2}; moment += milliseconds{400}) {
            SCOPED_TRACE("submitted " + std::to_string(to_milliseconds(moment)) + " ms after the loss");
            long_running_world_settings settings;
            settings.workers = 4;
            settings.fill = 0;
            settings.reports_start_times = reports_start_times;
            long_running_world world(settings, seed);
            world.disrupt(make(disruption_kind::loss), {0}); // the first one is chosen
            world.run(moment);
            world.submit(make_long_running(1, 2000));
            expect_no_stall(world);
        }
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_holds_to_a_lost_worker_are_not_sent) {
    for (const auto length : {seconds{3}, seconds{6}, seconds{12}}) {
        SCOPED_TRACE("not sent for " + std::to_string(to_milliseconds(length)) + " ms");
        long_running_world world({}, seed);
        const auto job = world.submit(make_long_running(4, 2000, 1));
        world.run(placing_time);
        const auto hosts = world.find_hosts(job);
        world.disrupt(make(disruption_kind::unsent_orders, length), hosts);
        world.disrupt(make(disruption_kind::loss), hosts);
        expect_no_stall(world);
    }
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_only_workers_set_aside_have_room) {
    long_running_world_settings settings;
    settings.workers = 4;
    settings.fill = 0;
    long_running_world world(settings, seed);
    const auto blocker = world.submit(make_long_running(3, 16000, 1));
    world.run(seconds{1});
    for (int number = 0; number < 4; ++number) {
        world.submit(make_long_running(1, 4000));
    }
    world.run(seconds{1});
    const auto full = world.find_hosts(blocker);
    ASSERT_EQ(full.size(), 3U);
    world.submit(make_long_running(1, 4000)); // no room yet
    world.run(seconds{5});
    std::vector<std::size_t> failing = find_other_workers(full.front(), 4);
    std::erase_if(failing,
                  [&](auto number) { return std::find(full.begin(), full.end(), number) != full.end(); });
    world.disrupt(make(disruption_kind::failures, milliseconds{300}), failing);
    expect_no_stall(world);
}

TEST(dispatcher_long_running, waits_no_longer_than_allowed_when_workers_are_kept_for_short_tasks) {
    for (std::uint64_t world_seed = 1; world_seed <= 10; ++world_seed) {
        SCOPED_TRACE("seed " + std::to_string(world_seed));
        long_running_world_settings settings;
        settings.workers = 4;
        settings.fill = 0.5;
        long_running_world world(settings, world_seed);
        auto step = make_long_running(1, 2000);
        step.image = "image";
        step.target_ms = 200;
        const auto job = world.submit(step);
        world.run(placing_time);
        world.disrupt(make(disruption_kind::loss_with_reset), world.find_hosts(job));
        expect_no_stall(world);
    }
}

TEST(dispatcher_long_running, ends_at_the_end_of_the_lease_where_a_check_falls_on_that_very_moment) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_long_running(1, 2000)});
    const auto start = world.start_one();
    for (int number = 0; number < silent_after_failures; ++number) {
        world.wait_for_hold("w1");
        world.fail_hold("w1");
    }
    world.advance(world.find_worker("w1")->lease_end - world.now);
    world.advance(milliseconds{20});
    EXPECT_EQ(world.scheduler.find_track(start.run), nullptr);
}

TEST(dispatcher_long_running, is_not_given_up_when_its_workers_start_again_three_times) {
    long_running_world world({}, seed);
    const auto job = world.submit(make_long_running(1, 2000));
    world.run(placing_time);
    for (int number = 0; number < 3; ++number) {
        ASSERT_EQ(world.count_running(job), 1U);
        world.disrupt(make(disruption_kind::restart, milliseconds{500}), world.find_hosts(job));
        world.run(seconds{5});
    }
    expect_no_stall(world);
    EXPECT_EQ(world.count_running(job), 1U);
}

} // namespace
} // namespace poplarpitch
