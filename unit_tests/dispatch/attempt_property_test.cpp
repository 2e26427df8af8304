// Checks the count of failed attempts of tasks and gangs against a plain model, under lost and late answers
// and changes of the leader. POPLARPITCH_SEEDS sets the number of seeds; each failure names its seed.
#include "unit_tests/dispatch/attempt_world.h"
#include "unit_tests/dispatch/crash_world.h"

#include <gtest/gtest.h>

#include <string>

namespace poplarpitch {
namespace {

// A job was lost after one run of a gang in which several members failed.
TEST(attempt_property, fails_a_job_when_a_task_or_gang_has_no_attempt_left_and_never_before) {
    int runs_with_several_failures = 0;
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        attempt_world world(seed);
        world.run();
        ASSERT_TRUE(world.get_violations().empty()) << world.get_violations().front();
        runs_with_several_failures += world.count_runs_with_several_failures();
    }
    EXPECT_GT(runs_with_several_failures, 0);
}

/// Returns true when the checks find the fault with one of the seeds.
bool is_found(attempt_mutation mutation) {
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        attempt_world world(seed, mutation);
        world.run();
        if (!world.get_violations().empty()) {
            return true;
        }
    }
    return false;
}

// The checks must find a wrong count, or their silence proves nothing.
TEST(attempt_mutation, each_failed_member_of_a_gang_counts) {
    EXPECT_TRUE(is_found(attempt_mutation::count_each_member));
}

TEST(attempt_mutation, no_failed_run_of_a_gang_counts) {
    EXPECT_TRUE(is_found(attempt_mutation::count_no_gang));
}

TEST(attempt_mutation, a_new_leader_forgets_which_runs_have_counted) {
    EXPECT_TRUE(is_found(attempt_mutation::forget_failed_runs));
}

TEST(attempt_mutation, a_new_leader_forgets_how_many_attempts_have_failed) {
    EXPECT_TRUE(is_found(attempt_mutation::forget_counts));
}

TEST(attempt_mutation, a_failed_run_counts_for_other_tasks_of_its_step) {
    EXPECT_TRUE(is_found(attempt_mutation::count_for_other_members));
}

} // namespace
} // namespace poplarpitch
