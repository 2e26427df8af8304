// What a leader knows of failed attempts: the members of a gang share theirs, and a run counts once.
#include "poplarpitch/dispatch/attempt_history.h"

#include "poplarpitch/scheduling/job_record.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <memory>

namespace poplarpitch {
namespace {

constexpr time_point now{seconds{100}};

job_record make_record(bool is_gang) {
    auto step = make_step(3);
    step.gang = is_gang;
    step_job job;
    job.id = 7;
    job.steps = {step};
    job_record record;
    record.job = std::make_shared<const step_job>(job);
    auto& tasks = record.get_occurrence(0).steps[0].tasks;
    tasks[1].failures = 1;
    tasks[1].failed_on = {{"w1", 0}};
    tasks[2].failed_on = {{"w2", 0}};
    return record;
}

TEST(attempt_history, counts_each_run_of_a_gang_once) {
    attempt_history history;
    const step_key gang{1, 0, 0};
    EXPECT_TRUE(history.claim_gang_attempt({{gang, 0}, 1}, 0));
    EXPECT_FALSE(history.claim_gang_attempt({{gang, 2}, 1}, 0));
    EXPECT_TRUE(history.claim_gang_attempt({{gang, 2}, 2}, 1));
    EXPECT_TRUE(history.claim_gang_attempt({{{1, 1, 0}, 0}, 1}, 0)) << "of another occurrence";
}

// A run that an earlier leader has counted must not count again.
TEST(attempt_history, counts_no_run_that_counts_by_the_replicated_state) {
    attempt_history history;
    EXPECT_FALSE(history.claim_gang_attempt({{{1, 0, 0}, 0}, 3}, 3));
    EXPECT_TRUE(history.claim_gang_attempt({{{1, 0, 0}, 0}, 4}, 3));
}

TEST(attempt_history, restores_the_failures_of_a_gang_under_its_first_member) {
    attempt_history history;
    history.restore(make_record(true), now);
    const auto* failed = history.find({{7, 0, 0}, 0});
    ASSERT_NE(failed, nullptr);
    EXPECT_EQ(*failed, (failed_attempts{{{"w1", 0}, {"w2", 0}}, now}));
    EXPECT_EQ(history.find({{7, 0, 0}, 1}), nullptr);
}

TEST(attempt_history, restores_the_failures_of_other_tasks_apart) {
    attempt_history history;
    history.restore(make_record(false), now);
    EXPECT_EQ(history.find({{7, 0, 0}, 0}), nullptr);
    ASSERT_NE(history.find({{7, 0, 0}, 1}), nullptr);
    EXPECT_EQ(history.find({{7, 0, 0}, 1})->workers, (std::vector<worker_incarnation>{{"w1", 0}}));
    EXPECT_TRUE(history.has_any({7, 0, 0}));
    EXPECT_FALSE(history.has_any({7, 0, 1}));
}

// A job that has ended must leave nothing behind in a leader that runs for days.
TEST(attempt_history, forgets_a_job_and_no_other) {
    attempt_history history;
    history.restore(make_record(true), now);
    history.record_failure({{8, 0, 0}, 0}, {"w3", 0}, now);
    history.forget_job(7);
    EXPECT_EQ(history.find({{7, 0, 0}, 0}), nullptr);
    EXPECT_NE(history.find({{8, 0, 0}, 0}), nullptr);
}

} // namespace
} // namespace poplarpitch
