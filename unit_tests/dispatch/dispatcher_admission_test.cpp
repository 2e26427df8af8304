// Which jobs are admitted when there is too little capacity for all.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <set>

namespace poplarpitch {
namespace {

constexpr int workers = 8;
constexpr std::int64_t worker_millicores = 32'000;

step_job make_long_running(job_id id, std::uint32_t tasks) {
    step_job job;
    job.id = id;
    job.queue.pool = world_pool;
    auto step = make_step(tasks);
    step.millicores = 6400;
    step.long_running = true;
    step.target_ms = 100;
    step.image = "serving";
    job.steps = {step};
    return job;
}

void add_workers(dispatch_world& world) {
    for (int number = 0; number < workers; ++number) {
        world.add_worker("w" + std::to_string(number), {worker_millicores, 128'000, 0});
    }
    world.advance(seconds{4});
}

/// Recorded load pattern: within one second and before any other job, long-running jobs request more than the
/// capacity of the whole pool. All were admitted, and short tasks found no free core until the jobs ended.
TEST(dispatcher_admission, keeps_room_for_short_tasks_when_long_running_jobs_request_more_than_the_pool_has) {
    dispatch_world world;
    add_workers(world);
    std::int64_t admitted_millicores = 0;
    for (job_id id = 100; id < 107; ++id) { // 109% of the pool
        const auto job = make_long_running(id, 6);
        if (world.scheduler.admit(job, world.now).is_admitted()) {
            admitted_millicores += job.get_long_running_millicores();
            world.submit(job.steps);
            world.scheduler.cancel_admission(id); // the world counts it under its own id
        }
    }
    EXPECT_LE(admitted_millicores, workers * worker_millicores * 8 / 10);
    EXPECT_GE(admitted_millicores, workers * worker_millicores * 6 / 10);
    world.advance(seconds{2});
    world.take<start_order>();
    world.submit({make_step(16)}); // short tasks
    EXPECT_EQ(world.take<start_order>().size(), 16U);
}

/// Load pattern: all callers retry at once after a power loss; the leader's timers are 0.6 s late.
TEST(dispatcher_admission, refuses_new_jobs_while_the_leader_lags_and_spreads_their_retries) {
    dispatch_world world;
    add_workers(world);
    step_job job;
    job.queue.pool = world_pool;
    job.steps = {make_step()};
    world.scheduler.on_load({1.0, milliseconds{300}});
    job.id = 200;
    EXPECT_TRUE(world.scheduler.admit(job, world.now).is_admitted())
        << "late, but its start is still in time";
    world.scheduler.on_load({1.0, milliseconds{600}});
    std::set<duration> waits;
    for (job_id id = 300; id < 400; ++id) {
        job.id = id;
        const auto decision = world.scheduler.admit(job, world.now);
        EXPECT_EQ(decision.outcome, admission::admission_outcome::overloaded);
        EXPECT_EQ(decision.lag, milliseconds{600});
        EXPECT_GE(decision.retry_after, seconds{1});
        waits.insert(decision.retry_after);
    }
    EXPECT_GT(waits.size(), 50U);
    world.scheduler.on_load({0.4, milliseconds{2}});
    EXPECT_TRUE(world.scheduler.admit(job, world.now).is_admitted());
}

TEST(dispatcher_admission, reports_why_a_job_was_refused_and_when_to_retry) {
    dispatch_world world;
    add_workers(world);
    const auto decision = world.scheduler.admit(make_long_running(100, 40), world.now);
    EXPECT_EQ(decision.outcome, admission::admission_outcome::long_running_quota);
    EXPECT_EQ(decision.wanted, 256'000);
    EXPECT_EQ(decision.allowed, 204'800);
    EXPECT_GE(decision.retry_after, seconds{5});
    EXPECT_EQ(world.scheduler.get_counts().refused_jobs, 1U);
}

TEST(dispatcher_admission, counts_jobs_that_are_still_being_committed) {
    dispatch_world world;
    add_workers(world);
    EXPECT_TRUE(world.scheduler.admit(make_long_running(100, 30), world.now).is_admitted());
    EXPECT_FALSE(world.scheduler.admit(make_long_running(101, 30), world.now).is_admitted());
    EXPECT_TRUE(world.scheduler.admit(make_long_running(100, 30), world.now).is_admitted()); // sent again
    world.scheduler.cancel_admission(100);
    EXPECT_TRUE(world.scheduler.admit(make_long_running(101, 30), world.now).is_admitted());
}

TEST(dispatcher_admission, a_new_leader_counts_the_jobs_of_the_former_leader) {
    dispatch_world world;
    add_workers(world);
    world.submit(make_long_running(0, 30).steps);
    world.start_leading();
    for (int number = 0; number < workers; ++number) {
        world.send_heartbeat("w" + std::to_string(number));
    }
    world.advance(seconds{4});
    EXPECT_FALSE(world.scheduler.admit(make_long_running(101, 30), world.now).is_admitted());
}

TEST(dispatcher_admission, admits_jobs_that_end_however_much_long_running_jobs_reserve) {
    dispatch_world world;
    add_workers(world);
    EXPECT_TRUE(world.scheduler.admit(make_long_running(100, 32), world.now).is_admitted());
    step_job job;
    job.id = 101;
    job.queue.pool = world_pool;
    job.steps = {make_step(1000)};
    EXPECT_TRUE(world.scheduler.admit(job, world.now).is_admitted());
}

} // namespace
} // namespace poplarpitch
