// A fault that logs the same line tens of thousands of times a second must not fill the disk or use up the
// thread's time.
#include "poplarpitch/telemetry/log_budget.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr log_budget_settings small{100, 200};

TEST(log_budget, bounds_the_lines_of_one_kind_and_counts_those_left_out) {
    log_budget budget(small);
    time_point now{seconds{10}};
    int written = 0;
    std::uint64_t reported = 0;
    constexpr int lines = 48'000;
    for (int line = 0; line < lines; ++line) {
        const auto decided = budget.admit("start_refused", now);
        written += decided.is_written ? 1 : 0;
        reported += decided.left_out;
        now += std::chrono::microseconds{21}; // one second in all
    }
    EXPECT_GE(written, 290);
    EXPECT_LE(written, 310);
    EXPECT_EQ(budget.get_left_out(), static_cast<std::uint64_t>(lines - written));
    now += seconds{1};
    reported += budget.admit("start_refused", now).left_out;
    EXPECT_EQ(reported, budget.get_left_out()) << "every line that was left out is told of";
}

TEST(log_budget, does_not_limit_other_kinds) {
    log_budget budget(small);
    const time_point now{seconds{10}};
    for (int line = 0; line < 1000; ++line) {
        static_cast<void>(budget.admit("start_refused", now));
    }
    EXPECT_TRUE(budget.admit("role_changed", now).is_written);
}

TEST(log_budget, writes_every_line_of_a_busy_leader) {
    log_budget budget(log_budget_settings{});
    time_point now{seconds{10}};
    for (int line = 0; line < 100'000; ++line) {
        ASSERT_TRUE(budget.admit("run_started", now).is_written);
        now += std::chrono::microseconds{400}; // 2,500 a second
    }
}

} // namespace
} // namespace poplarpitch
