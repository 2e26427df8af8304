#include "poplarpitch/scheduling/job_size.h"

#include "poplarpitch/scheduling/step_job.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr std::size_t min_task_bytes = 150; // what a task was measured to take
constexpr std::size_t tasks = 1000;

step_job make_scheduled(std::uint32_t count, std::int64_t first_ms, std::int64_t interval_ms) {
    step_job job;
    job.steps.emplace_back();
    job.steps.front().count = tasks;
    job.accepted_ms = 1'000'000'000;
    job.schedule = job_schedule{count, first_ms, interval_ms};
    return job;
}

TEST(job_size, grows_with_tasks_and_text) {
    step_job job;
    job.steps.emplace_back();
    const auto small = estimate_bytes(job);
    job.steps.front().count = tasks;
    EXPECT_GE(estimate_bytes(job), small + min_task_bytes * (tasks - 1));
    job.payload.assign(4000, 'x');
    EXPECT_GE(estimate_bytes(job), small + min_task_bytes * (tasks - 1) + job.payload.size());
}

// Occurrences that are all due at once have tasks at the same time.
TEST(job_size, counts_the_occurrences_that_are_due_together) {
    const auto get_tasks = [](const step_job& job) {
        return estimate_bytes(job) / min_task_bytes;
    };
    EXPECT_GE(get_tasks(make_scheduled(100, 2'000'000'000, 0)), 100 * tasks);
    EXPECT_GE(get_tasks(make_scheduled(100, 0, 1000)), 100 * tasks);
    EXPECT_LT(get_tasks(make_scheduled(100, 2'000'000'000, 60'000)), 4 * tasks);
}

} // namespace
} // namespace poplarpitch
