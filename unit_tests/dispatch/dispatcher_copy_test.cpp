// Speculative second runs (copies) of slow tasks, where their callers allow them.
#include "poplarpitch/dispatch/copy_need.h"
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr std::int64_t estimate_ms = 1000;

step_spec make_copied_step() {
    auto step = make_step();
    step.speculative = true;
    step.estimate_ms = estimate_ms;
    return step;
}

/// Two workers, and a task on one of them that is at 10% after three times its estimate.
class slow_task {
public:
    explicit slow_task(const step_spec& step, bool has_waiting_tasks = false) {
        constexpr std::int64_t percent = 10;
        world.add_worker("w1");
        world.add_worker("w2");
        job = world.submit({step});
        const auto starts = world.take<start_order>();
        EXPECT_EQ(starts.size(), 1U);
        first = starts.at(0);
        world.answer(first);
        report_progress(percent);
        if (has_waiting_tasks) {
            auto large = make_step();
            large.millicores = 1'000'000; // exceeds the capacity of every worker
            world.submit({large});
        }
        world.advance(milliseconds{3 * estimate_ms});
        report_progress(percent);
    }

    void report_progress(std::int64_t percent) {
        world.wait_for_hold(first.target.worker.id);
        hold_answer list;
        list.running.push_back({first.run, "", percent, 0});
        world.answer_hold(first.target.worker.id, list);
    }

    void end_first_run() {
        world.wait_for_hold(first.target.worker.id);
        hold_answer list;
        list.ended.push_back({1, first.run, run_end::done, ""});
        world.answer_hold(first.target.worker.id, list);
    }

    /// Advances the clock until the copy is started, and confirms its start.
    void start_copy() {
        world.advance(milliseconds{300});
        const auto copies = world.take<start_order>();
        ASSERT_EQ(copies.size(), 1U);
        copy = copies[0];
        world.answer(copy);
    }

    dispatch_world world;
    job_id job = 0;
    start_order first;
    start_order copy;
};

TEST(dispatcher_copy, starts_a_slow_task_once_more_on_another_worker) {
    slow_task slow(make_copied_step());
    slow.world.advance(milliseconds{300});
    const auto copies = slow.world.take<start_order>();
    ASSERT_EQ(copies.size(), 1U);
    EXPECT_EQ(copies[0].run.task, slow.first.run.task);
    EXPECT_GT(copies[0].run.run, slow.first.run.run);
    EXPECT_NE(copies[0].target.worker.id, slow.first.target.worker.id);
    slow.world.answer(copies[0]);
    slow.world.advance(seconds{1});
    EXPECT_TRUE(slow.world.take<start_order>().empty()) << "one copy is enough";
}

TEST(dispatcher_copy, takes_the_first_end_and_stops_the_other_run) {
    slow_task slow(make_copied_step());
    ASSERT_NO_FATAL_FAILURE(slow.start_copy());
    slow.end_first_run();
    EXPECT_EQ(slow.world.job_state.find_job(slow.job)->phase, job_phase::completed);
    const auto stops = slow.world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].run, slow.copy.run);
}

TEST(dispatcher_copy, copies_nothing_whose_caller_does_not_allow_it) {
    slow_task slow(make_step());
    slow.world.advance(milliseconds{300});
    EXPECT_TRUE(slow.world.take<start_order>().empty());
}

TEST(dispatcher_copy, starts_no_copy_while_other_tasks_wait_for_room) {
    slow_task slow(make_copied_step(), true);
    slow.world.advance(milliseconds{300});
    EXPECT_TRUE(slow.world.take<start_order>().empty());
}

TEST(dispatcher_copy, lets_the_slow_run_go_on_when_its_copy_fails) {
    slow_task slow(make_copied_step());
    ASSERT_NO_FATAL_FAILURE(slow.start_copy());
    slow.world.wait_for_hold(slow.copy.target.worker.id);
    hold_answer list;
    list.ended.push_back({1, slow.copy.run, run_end::failed, ""});
    slow.world.answer_hold(slow.copy.target.worker.id, list);
    EXPECT_EQ(slow.world.job_state.find_job(slow.job)->phase, job_phase::open);
    slow.end_first_run();
    EXPECT_EQ(slow.world.job_state.find_job(slow.job)->phase, job_phase::completed);
}

TEST(copy_need, copies_no_run_that_is_within_the_usual_error_of_estimates) {
    EXPECT_FALSE(needs_copy({milliseconds{1500}, 0, estimate_ms}));
    EXPECT_FALSE(needs_copy({milliseconds{3000}, 80, estimate_ms})); // 0.75 s more
    EXPECT_TRUE(needs_copy({milliseconds{3000}, 40, estimate_ms}));  // 4.5 s more
    EXPECT_TRUE(needs_copy({milliseconds{3000}, 0, estimate_ms}));
}

} // namespace
} // namespace poplarpitch
