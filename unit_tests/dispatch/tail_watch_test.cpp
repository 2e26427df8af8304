// Filling tasks are slowed more the longer a serving task's tail latency has exceeded its target.
#include "poplarpitch/dispatch/tail_watch.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr double target_ms = 100;
constexpr duration interval = milliseconds{400};

TEST(tail_watch, reduces_in_part_at_the_first_sample_over_the_target) {
    tail_watch watch;
    watch.observe(99, target_ms, interval);
    EXPECT_EQ(watch.get_pressure_reduction(), 0);
    watch.observe(101, target_ms, interval);
    EXPECT_GT(watch.get_pressure_reduction(), 0.5);
    EXPECT_LT(watch.get_pressure_reduction(), 1);
}

TEST(tail_watch, reduces_in_full_after_some_samples_over_the_target) {
    tail_watch watch;
    for (int sample = 0; sample < 4; ++sample) {
        EXPECT_LT(watch.get_pressure_reduction(), 1);
        watch.observe(110, target_ms, interval);
    }
    EXPECT_EQ(watch.get_pressure_reduction(), 1);
}

TEST(tail_watch, is_not_reset_by_a_single_low_sample) {
    tail_watch watch;
    for (int sample = 0; sample < 5; ++sample) {
        watch.observe(110, target_ms, interval);
    }
    watch.observe(90, target_ms, interval);
    EXPECT_EQ(watch.get_pressure_reduction(), 1);
    watch.observe(90, target_ms, interval);
    watch.observe(90, target_ms, interval);
    EXPECT_EQ(watch.get_pressure_reduction(), 0);
}

TEST(tail_watch, does_not_reduce_in_full_for_single_high_samples) {
    tail_watch watch;
    for (int sample = 0; sample < 20; ++sample) {
        watch.observe(sample % 3 == 0 ? 110 : 80, target_ms, interval);
        EXPECT_LT(watch.get_pressure_reduction(), 1);
    }
}

} // namespace
} // namespace poplarpitch
