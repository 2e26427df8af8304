// Which waiting job gets capacity that becomes free when there is too little for all.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <set>

namespace poplarpitch {
namespace {

constexpr std::int64_t worker_cores = 8;

/// A worker whose capacity one running task uses up.
class full_worker {
public:
    full_worker() {
        world.add_worker("w1", {worker_cores * 1000, 64'000, 0});
        auto all = make_step();
        all.millicores = worker_cores * 1000;
        world.submit({all});
        confirm_start();
    }

    /// Runs jobs one after the other that all take `length`, with estimates from a tenth to ten times of it.
    void run_jobs_of_equal_length(duration length) {
        for (const double off : {0.1, 0.3, 1.0, 3.0, 10.0, 0.1, 0.3, 1.0, 3.0, 10.0}) {
            submit(1, static_cast<std::int64_t>(off * static_cast<double>(to_milliseconds(length))));
            world.advance(length);
            end_running_task();
            confirm_start();
        }
    }

    job_id submit(std::uint32_t tasks, std::int64_t estimate_ms) {
        auto step = make_step(tasks);
        step.millicores = worker_cores * 1000;
        step.estimate_ms = estimate_ms;
        return world.submit({step});
    }

    /// Submits tasks that use all cores of the worker and this much memory.
    job_id submit_large(std::uint32_t tasks, std::int64_t estimate_ms, std::int64_t memory_mb) {
        auto step = make_step(tasks);
        step.millicores = worker_cores * 1000;
        step.estimate_ms = estimate_ms;
        step.memory_mb = memory_mb;
        return world.submit({step});
    }

    /// Confirms the start that `free_room` took; its task now occupies the worker.
    void confirm_last_start() {
        m_running = m_last.run;
        world.answer(m_last);
    }

    /// Ends the running task. Returns the job that gets its room.
    job_id free_room() {
        end_running_task();
        const auto starts = world.take<start_order>();
        EXPECT_EQ(starts.size(), 1U);
        m_last = starts.empty() ? start_order{} : starts[0];
        return starts.empty() ? 0 : starts[0].run.task.step.job;
    }

    dispatch_world world;

private:
    void confirm_start() {
        const auto starts = world.take<start_order>();
        ASSERT_EQ(starts.size(), 1U);
        m_running = starts.at(0).run;
        world.answer(starts.at(0));
    }

    void end_running_task() {
        world.wait_for_hold("w1");
        hold_answer list;
        list.ended.push_back({++m_end_count, m_running, run_end::done, ""});
        world.answer_hold("w1", list);
    }

    run_key m_running;
    start_order m_last;
    std::uint64_t m_end_count = 0;
};

TEST(dispatcher_order, lets_the_job_with_less_time_left_go_first_however_large_it_is) {
    full_worker worker;
    const auto large = worker.submit(30, 1000);
    worker.world.advance(milliseconds{200});
    worker.submit(1, 1000);
    EXPECT_EQ(worker.free_room(), large);
}

TEST(dispatcher_order, lets_a_large_job_that_has_waited_go_before_a_small_one) {
    full_worker worker;
    const auto large = worker.submit(8, 20'000);
    worker.world.advance(seconds{8});
    worker.submit(1, 20'000);
    EXPECT_EQ(worker.free_room(), large);
}

TEST(dispatcher_order, lets_a_job_that_can_be_in_time_go_before_one_that_cannot) {
    full_worker worker;
    worker.submit(1, 1000);
    worker.world.advance(seconds{4}); // its objective is 3 s
    const auto later = worker.submit(4, 1000);
    EXPECT_EQ(worker.free_room(), later);
}

/// Load pattern: the rest of an overload after its callers have left. All jobs have missed their objectives.
/// The least late one took all capacity that became free, and the others starved until it had no more tasks,
/// in a pool that was half empty.
TEST(dispatcher_order, lets_no_job_stand_still_for_long_in_a_pool_with_room) {
    full_worker worker;
    worker.world.add_worker("w2", {worker_cores * 2000, 1000, 0}); // too little memory for any of these tasks
    worker.submit_large(1, 1000, 2000);
    const auto earlier = worker.submit_large(30, 1000, 2000);
    worker.world.advance(seconds{20});
    const auto later = worker.submit_large(30, 5000, 2000);
    worker.world.advance(seconds{30});
    worker.world.send_heartbeat("w2");
    std::set<job_id> served;
    for (int gap = 0; gap < 4; ++gap) {
        served.insert(worker.free_room());
        worker.confirm_last_start();
        worker.world.advance(seconds{2});
        worker.world.send_heartbeat("w2");
    }
    EXPECT_TRUE(served.contains(earlier));
    EXPECT_TRUE(served.contains(later));
}

/// Load pattern: an overload of jobs that all take 2 s, with estimates of 200 ms to 20 s. By its estimate
/// alone, a job with an estimate of 200 ms was treated as hopelessly late after 1.4 s, while it had three
/// more, and waited behind all others.
TEST(dispatcher_order, does_not_treat_a_job_as_hopelessly_late_because_of_an_unreliable_estimate) {
    full_worker worker;
    worker.run_jobs_of_equal_length(seconds{2});
    const auto underestimated = worker.submit(1, 200);
    worker.world.advance(milliseconds{2500}); // its objective is about 5 s, and 1.4 s by the estimate
    worker.submit(1, 2000);
    EXPECT_EQ(worker.free_room(), underestimated);
}

} // namespace
} // namespace poplarpitch
