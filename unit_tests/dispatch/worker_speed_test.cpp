// Which workers count as slow compared with their pool.
#include "poplarpitch/dispatch/worker_speed.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

const worker_speed_settings settings;
constexpr double median = 0.9;

constexpr task_key first_task{{1, 0, 0}, 0};
constexpr task_key second_task{{2, 0, 0}, 0};
constexpr task_key sibling{{1, 0, 0}, 1}; ///< of the first step

/// Adds two seconds of four runs of two steps at this speed, half a second each.
void work(worker_speed& worker, double speed, time_point& now) {
    for (int round = 0; round < 4; ++round) {
        now += milliseconds{500};
        worker.observe(first_task, speed * 1.0, 1.0, settings, now);
        worker.observe(second_task, speed * 1.0, 1.0, settings, now);
        static_cast<void>(worker.classify(median, settings, now));
    }
}

TEST(worker_speed, accepts_its_default_settings_and_refuses_limits_out_of_order) {
    EXPECT_TRUE(settings.is_valid());
    worker_speed_settings wrong;
    wrong.sound_share = wrong.slow_share;
    EXPECT_FALSE(wrong.is_valid());
}

TEST(worker_speed, finds_a_worker_that_is_seven_times_slower) {
    time_point now{seconds{100}};
    worker_speed worker;
    work(worker, 1.0, now);
    EXPECT_FALSE(worker.is_slow());
    work(worker, 0.13, now);
    EXPECT_TRUE(worker.is_slow());
}

TEST(worker_speed, does_not_take_a_worker_near_the_median_for_slow) {
    time_point now{seconds{100}};
    worker_speed worker;
    work(worker, 0.6, now);
    EXPECT_FALSE(worker.is_slow());
}

TEST(worker_speed, needs_more_evidence_than_one_short_run) {
    const time_point now{seconds{100}};
    worker_speed worker;
    worker.observe(first_task, 0.1, 0.8, settings, now);
    static_cast<void>(worker.classify(median, settings, now));
    EXPECT_FALSE(worker.is_slow());
}

/// Guards against a worker that counts as slow because one long task of a step runs there.
TEST(worker_speed, does_not_take_a_worker_with_one_uneven_task_for_slow) {
    time_point now{seconds{100}};
    worker_speed alone;
    worker_speed beside_another;
    for (int round = 0; round < 8; ++round) {
        now += milliseconds{500};
        alone.observe(first_task, 0.02, 0.5, settings, now);
        beside_another.observe(first_task, 0.02, 0.5, settings, now);
        beside_another.observe(sibling, 0.45, 0.5, settings, now);
        static_cast<void>(alone.classify(median, settings, now));
        static_cast<void>(beside_another.classify(median, settings, now));
        EXPECT_FALSE(alone.is_slow());
        EXPECT_FALSE(beside_another.is_slow());
    }
}

/// Guards against a worker that counts as slow because the forecast of one step is too short.
TEST(worker_speed, does_not_take_a_worker_with_one_underestimated_step_for_slow) {
    time_point now{seconds{100}};
    worker_speed worker;
    for (int round = 0; round < 8; ++round) {
        now += milliseconds{500};
        worker.observe(first_task, 0.2, 0.5, settings, now);
        worker.observe(sibling, 0.2, 0.5, settings, now);
        worker.observe(second_task, 0.5, 0.5, settings, now);
        static_cast<void>(worker.classify(median, settings, now));
        EXPECT_FALSE(worker.is_slow());
    }
}

/// Placement packs the tasks of a step, so a slow worker may have runs of one step only.
TEST(worker_speed, finds_a_far_slower_worker_by_two_tasks_of_one_step) {
    time_point now{seconds{100}};
    worker_speed worker;
    for (int round = 0; round < 4; ++round) {
        now += milliseconds{500};
        worker.observe(first_task, 0.065, 0.5, settings, now);
        worker.observe(sibling, 0.065, 0.5, settings, now);
        static_cast<void>(worker.classify(median, settings, now));
    }
    EXPECT_TRUE(worker.is_slow());
}

TEST(worker_speed, keeps_the_class_between_the_two_limits) {
    time_point now{seconds{100}};
    worker_speed slow;
    work(slow, 0.13, now);
    work(slow, 0.55, now);
    EXPECT_TRUE(slow.is_slow());
    work(slow, 0.9, now);
    EXPECT_FALSE(slow.is_slow());
    EXPECT_FALSE(slow.is_on_probation());
}

/// All tasks were moved away, so nothing shows whether the worker has recovered.
TEST(worker_speed, puts_a_slow_worker_without_new_evidence_on_probation) {
    time_point now{seconds{100}};
    worker_speed worker;
    work(worker, 0.13, now);
    now += seconds{8};
    EXPECT_TRUE(worker.classify(median, settings, now));
    EXPECT_TRUE(worker.is_on_probation());
    work(worker, 1.0, now);
    EXPECT_FALSE(worker.is_on_probation());
    EXPECT_FALSE(worker.is_slow());
}

TEST(worker_speed, a_pool_that_is_slow_as_a_whole_has_no_slow_workers) {
    time_point now{seconds{100}};
    worker_speed worker;
    now += milliseconds{500};
    worker.observe(first_task, 0.2, 1.5, settings, now);
    worker.observe(second_task, 0.2, 1.5, settings, now);
    EXPECT_FALSE(worker.classify(get_median_speed({0.13, 0.14, 0.13, 0.12, 0.13}, settings), settings, now));
}

TEST(worker_speed, tail_latencies_decide_where_no_task_ends) {
    time_point now{seconds{100}};
    worker_speed worker;
    for (int round = 0; round < 4; ++round) {
        now += milliseconds{500};
        worker.observe_tail(true, 0.5, settings, now);
        static_cast<void>(worker.classify(median, settings, now));
    }
    EXPECT_TRUE(worker.is_slow());
    for (int round = 0; round < 10; ++round) {
        now += milliseconds{500};
        worker.observe_tail(false, 0.5, settings, now);
        static_cast<void>(worker.classify(median, settings, now));
    }
    EXPECT_FALSE(worker.is_slow()) << "the worker has recovered, and is used again";
    EXPECT_FALSE(worker.is_on_probation());
}

TEST(worker_speed, a_small_pool_has_no_median) {
    EXPECT_EQ(get_median_speed({1, 1, 1, 1}, settings), 0);
    EXPECT_EQ(get_median_speed({1, 2, 3, 4, 5}, settings), 3);
}

} // namespace
} // namespace poplarpitch
