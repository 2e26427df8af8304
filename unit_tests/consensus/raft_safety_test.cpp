#include "unit_tests/support/raft_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarpitch {
namespace {

RC_GTEST_PROP(raft_safety, holds_under_losses_crashes_and_cuts, ()) {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    raft_harness harness({}, seed);
    const auto violation = harness.run();
    RC_LOG() << "seed " << seed;
    RC_ASSERT(violation == "");
}

RC_GTEST_PROP(raft_safety, holds_with_five_voters, ()) {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    harness_settings settings;
    settings.nodes = 5;
    settings.spares = 1;
    raft_harness harness(settings, seed);
    RC_LOG() << "seed " << seed;
    RC_ASSERT(harness.run() == "");
}

RC_GTEST_PROP(raft_safety, commits_again_once_the_faults_end, ()) {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    harness_settings settings;
    settings.has_membership = false;
    settings.steps = 1000;
    raft_harness harness(settings, seed);
    RC_LOG() << "seed " << seed;
    RC_ASSERT(harness.run() == "");
    RC_ASSERT(harness.heal_and_commit() == "");
}

TEST(raft_safety, is_deterministic) {
    raft_harness first({}, 42);
    raft_harness second({}, 42);
    first.run();
    second.run();
    EXPECT_GT(first.get_committed_count(), 10U);
    EXPECT_EQ(first.hash_committed(), second.hash_committed());
}

/// Runs seeds until a property is violated. Returns the number of seeds run, or 0 when none violated one.
int find_violation(const harness_settings& settings) {
    constexpr int max_seeds = 2000;
    for (int seed = 1; seed <= max_seeds; ++seed) {
        raft_harness harness(settings, static_cast<std::uint64_t>(seed));
        if (!harness.run().empty()) {
            return seed;
        }
    }
    return 0;
}

// Each test disables one rule and checks that the harness detects the violation.

TEST(raft_mutation, vote_for_an_incomplete_log_is_found) {
    harness_settings settings;
    settings.rules.vote_needs_complete_log = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, second_vote_in_a_term_is_found) {
    harness_settings settings;
    settings.rules.one_vote_per_term = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, skipped_check_of_the_previous_entry_is_found) {
    harness_settings settings;
    settings.rules.append_checks_previous = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, half_a_quorum_is_found) {
    harness_settings settings;
    settings.nodes = 4;
    settings.spares = 0;
    settings.has_membership = false;
    settings.rules.quorum_is_majority = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, read_without_a_quorum_round_is_found) {
    harness_settings settings;
    settings.rules.read_needs_quorum_round = false;
    EXPECT_GT(find_violation(settings), 0);
}

TEST(raft_mutation, anything_sent_before_it_is_on_disk_is_found) {
    harness_settings settings;
    settings.sends_all_before_sync = true;
    EXPECT_GT(find_violation(settings), 0);
}

} // namespace
} // namespace poplarpitch
