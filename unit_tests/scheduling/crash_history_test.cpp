// When a task is given up for its crashes, and what resets their count.
#include "poplarpitch/scheduling/crash_history.h"

#include <gtest/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

constexpr std::int64_t short_run_ms = 10;

/// Returns after how many of these crashes the task is given up; 0 when it is not.
std::size_t count_until_given_up(const std::vector<crash_evidence>& crashes) {
    crash_history history;
    for (std::size_t number = 0; number < crashes.size(); ++number) {
        EXPECT_TRUE(
            history.record_crash(static_cast<std::uint32_t>(number + 1), crashes[number], short_run_ms));
        if (history.should_give_up(crashes[number], false)) {
            return number + 1;
        }
    }
    return 0;
}

TEST(crash_history, gives_up_after_two_crashes_that_are_clear) {
    EXPECT_EQ(count_until_given_up({crash_evidence::clear, crash_evidence::clear}), 2U);
    EXPECT_EQ(count_until_given_up({crash_evidence::shared, crash_evidence::clear}), 2U);
}

TEST(crash_history, gives_up_after_three_crashes_if_the_last_is_likely) {
    EXPECT_EQ(count_until_given_up({crash_evidence::shared, crash_evidence::shared, crash_evidence::likely}),
              3U);
    EXPECT_EQ(count_until_given_up({crash_evidence::shared, crash_evidence::shared, crash_evidence::shared}),
              0U);
}

TEST(crash_history, gives_up_after_four_crashes_whatever_the_evidence) {
    EXPECT_EQ(count_until_given_up(std::vector(4, crash_evidence::shared)), 4U);
    EXPECT_EQ(count_until_given_up(std::vector(4, crash_evidence::possible)), 4U);
}

TEST(crash_history, needs_two_crashes_at_which_the_task_surely_ran_before_the_fourth) {
    EXPECT_EQ(
        count_until_given_up({crash_evidence::possible, crash_evidence::possible, crash_evidence::clear}),
        0U);
    EXPECT_EQ(count_until_given_up({crash_evidence::possible, crash_evidence::clear, crash_evidence::clear}),
              3U);
}

TEST(crash_history, gives_up_a_long_running_task_only_for_crashes_soon_after_its_starts) {
    crash_history at_each_start;
    crash_history after_a_while;
    for (std::uint32_t run = 1; run <= 6; ++run) {
        at_each_start.record_crash(run, crash_evidence::clear, short_run_ms);
        after_a_while.record_crash(run, crash_evidence::likely, 4'000);
    }
    EXPECT_TRUE(at_each_start.should_give_up(crash_evidence::clear, true));
    EXPECT_FALSE(after_a_while.should_give_up(crash_evidence::likely, true));
    EXPECT_TRUE(after_a_while.should_give_up(crash_evidence::likely, false));
}

TEST(crash_history, counts_a_run_once_that_is_reported_twice) {
    crash_history history;
    EXPECT_TRUE(history.record_crash(7, crash_evidence::clear, short_run_ms));
    EXPECT_FALSE(history.record_crash(7, crash_evidence::clear, short_run_ms));
    EXPECT_EQ(history.crashes, 1U);
}

TEST(crash_history, is_reset_by_a_run_that_lasts_well_beyond_those_that_crashed) {
    crash_history history;
    history.record_crash(1, crash_evidence::shared, 3'000);
    history.record_run_age(5'000);
    EXPECT_EQ(history.crashes, 1U) << "less than four times as long";
    history.record_run_age(12'000);
    EXPECT_EQ(history.crashes, 0U);
}

TEST(crash_history, is_reset_by_any_run_of_a_minute) {
    crash_history history;
    history.record_crash(1, crash_evidence::shared, 3'600'000);
    history.record_run_age(60'000);
    EXPECT_EQ(history.crashes, 0U);
}

TEST(crash_history, is_reset_by_no_run_shorter_than_five_seconds) {
    crash_history history;
    history.record_crash(1, crash_evidence::shared, short_run_ms);
    history.record_run_age(4'999);
    EXPECT_EQ(history.crashes, 1U);
    history.record_run_age(5'000);
    EXPECT_EQ(history.crashes, 0U);
}

} // namespace
} // namespace poplarpitch
