#include "unit_tests/platform/wait_check.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr int slots = 4;

time_point at(int second) {
    return time_point{seconds{second}};
}

run_interval make_run(const std::string& task, int start, std::optional<int> end) {
    run_interval run;
    run.task = task;
    run.start = at(start);
    run.end = end.has_value() ? std::optional<time_point>(at(*end)) : std::nullopt;
    return run;
}

TEST(wait_check, counts_from_six_seconds_after_the_last_run) {
    const wait_check check({make_run("a", 1, 10), make_run("a", 20, std::nullopt)}, slots, at(5), at(30));
    EXPECT_EQ(check.get_longest_wait("a", at(0)), seconds{4});
    EXPECT_EQ(check.get_gap_after("a", at(2)), seconds{10});
    EXPECT_EQ(check.get_gap_after("a", at(12)), seconds{8});
    EXPECT_EQ(check.get_gap_after("a", at(21)), duration{0});
}

TEST(wait_check, counts_from_four_seconds_after_the_last_fault_at_the_earliest) {
    const wait_check check({make_run("a", 1, 10), make_run("a", 20, std::nullopt)}, slots, at(14), at(30));
    EXPECT_EQ(check.get_longest_wait("a", at(0)), seconds{2});
}

TEST(wait_check, counts_a_task_that_never_ran_from_the_time_when_it_is_due) {
    const wait_check check({}, slots, at(0), at(30));
    EXPECT_EQ(check.get_longest_wait("a", at(12)), seconds{18});
}

TEST(wait_check, counts_only_time_on_end_with_room_twice_over) {
    const std::vector<run_interval> runs = {make_run("b", 0, 40), make_run("c", 0, 40), make_run("d", 15, 18),
                                            make_run("d", 25, 26)};
    const wait_check check(runs, slots, at(0), at(30));
    EXPECT_EQ(check.get_longest_wait("a", at(10)), seconds{7}); // from 18 to 25
    const wait_check full(runs, 3, at(0), at(30));
    EXPECT_EQ(full.get_longest_wait("a", at(10)), duration{0});
}

} // namespace
} // namespace poplarpitch
