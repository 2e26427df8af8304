#include "poplarpitch/stand_in/record_checker.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

/// Returns a checker that has read these lines.
record_checker make_checker(const std::vector<std::string>& lines) {
    record_checker checker;
    for (const auto& line : lines) {
        checker.read_line(line);
    }
    return checker;
}

std::size_t count_broken(const std::vector<std::string>& lines, const std::vector<std::string>& done,
                         const std::set<std::string>& killed = {}) {
    return make_checker(lines).check_tasks(done, killed).broken.size();
}

TEST(record_checker, job_that_finished_once_keeps_the_promise) {
    EXPECT_EQ(count_broken({"task-start w j#1 b 10", "task-finished w j#1 b 20"}, {"j"}), 0U);
}

TEST(record_checker, job_that_is_done_without_a_finish_is_broken) {
    EXPECT_EQ(count_broken({"task-start w j#1 b 10", "task-stopped w j#1 b 20"}, {"j"}), 1U);
    EXPECT_EQ(count_broken({}, {"j"}), 1U);
}

TEST(record_checker, second_finish_is_broken_unless_a_killed_worker_could_not_report_the_first) {
    const std::vector<std::string> unacknowledged = {"task-start w j#1 b 10", "task-finished w j#1 b 20",
                                                     "task-start v j#2 b 90", "task-finished v j#2 b 99",
                                                     "report-known v j#2 finished 100"};
    EXPECT_EQ(count_broken(unacknowledged, {"j"}), 1U); // w is alive and would have reported it
    EXPECT_EQ(count_broken(unacknowledged, {"j"}, {"v"}), 1U);
    EXPECT_EQ(count_broken(unacknowledged, {"j"}, {"w"}), 0U);
    auto acknowledged = unacknowledged;
    acknowledged.insert(acknowledged.begin() + 2, "report-known w j#1 finished 21");
    EXPECT_EQ(count_broken(acknowledged, {"j"}, {"w"}), 1U); // acknowledged, but run again
}

TEST(record_checker, finish_of_a_killed_worker_may_be_the_one_that_counts) {
    // Its report was committed, but the worker was killed before it received the acknowledgement.
    EXPECT_EQ(count_broken({"task-start w j#1 b 10", "task-finished w j#1 b 20"}, {"j"}, {"w"}), 0U);
}

TEST(record_checker, job_in_two_places_is_broken) {
    EXPECT_EQ(count_broken({"task-start w j#1 b 10", "task-start v j#2 b 20", "task-finished w j#1 b 30",
                            "task-stopped v j#2 b 40"},
                           {"j"}),
              1U);
}

TEST(record_checker, attempt_that_ran_twice_is_broken) {
    EXPECT_EQ(count_broken({"task-start w j#1 b 10", "task-stopped w j#1 b 20", "task-start v j#1 b 30",
                            "task-finished v j#1 b 40"},
                           {"j"}),
              1U);
}

TEST(record_checker, overcommit_is_broken) {
    EXPECT_EQ(count_broken({"overcommit w j#1 b 10"}, {}), 1U);
}

TEST(record_checker, calls_are_checked_against_their_outcomes) {
    const auto checker = make_checker({"request-start w r1 a|s|false 1", "request-end w r1 a|s|false 2",
                                       "request-start w r2 b|s|false 3", "request-start v r3 b|s|false 4"});
    EXPECT_TRUE(checker.check_calls({{"a", "s", false, "done", true}}).broken.empty());
    EXPECT_EQ(checker.check_calls({{"a", "s", false, "not-run", true}}).broken.size(), 1U);
    EXPECT_EQ(checker.check_calls({{"a", "s", false, "done", false}}).broken.size(), 1U);
    EXPECT_EQ(checker.check_calls({{"b", "s", false, "unknown", true}}).broken.size(), 1U);
    EXPECT_TRUE(checker.check_calls({{"b", "s", true, "unknown", true}}).broken.empty());
    EXPECT_EQ(checker.check_calls({{"c", "s", true, "done", true}}).broken.size(), 1U);
}

} // namespace
} // namespace poplarpitch
