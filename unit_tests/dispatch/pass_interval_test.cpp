// How often a placement pass examines the workers, by their number.
#include "poplarpitch/dispatch/pass_interval.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t backlog = 500; // waiting steps

/// Returns how many workers the passes examine in a second, where each step is placed in a pass of its own.
double count_examined(std::size_t workers) {
    constexpr duration log_batch = milliseconds{12}; // a pass needs room in the log's next batch
    return static_cast<double>(workers) /
           to_seconds(std::max(log_batch, get_pass_interval(backlog, workers)));
}

TEST(pass_interval, follows_at_once_over_few_steps_of_a_small_cluster) {
    EXPECT_EQ(get_pass_interval(1, 1800), duration{0});
    EXPECT_EQ(get_pass_interval(50, 490), duration{0});
}

TEST(pass_interval, is_bounded_below_over_many_steps) {
    EXPECT_EQ(get_pass_interval(51, 66), milliseconds{15});
    EXPECT_EQ(get_pass_interval(0, 66), milliseconds{100});
}

// Guards against a leader of thousands of workers that spends its processor time on passes while a backlog
// lasts, and loses its followers.
TEST(pass_interval, keeps_the_work_of_passes_from_growing_with_the_workers) {
    EXPECT_LT(count_examined(12'000), 2.0 * count_examined(3'000));
    EXPECT_LT(count_examined(12'000), 1.3 * count_examined(6'000));
}

TEST(pass_interval, delays_no_task_by_more_than_a_fraction_of_its_objective) {
    EXPECT_LE(get_pass_interval(1, 12'000), milliseconds{50});
}

} // namespace
} // namespace poplarpitch
