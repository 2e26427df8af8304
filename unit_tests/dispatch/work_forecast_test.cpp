// Forecasts of how long steps take, learned from steps that ended.
#include "poplarpitch/dispatch/work_forecast.h"

#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace poplarpitch {
namespace {

step_job make_job(job_id id, const std::vector<std::int64_t>& estimates_ms) {
    step_job job;
    job.id = id;
    job.queue.name = "batch";
    for (const auto estimate : estimates_ms) {
        auto step = make_step(2);
        step.estimate_ms = estimate;
        if (!job.steps.empty()) {
            step.depends_on = {static_cast<std::uint32_t>(job.steps.size() - 1)};
        }
        job.steps.push_back(step);
    }
    return job;
}

TEST(duration_model, uses_the_estimate_until_a_step_was_observed) {
    duration_model model;
    EXPECT_EQ(model.predict("batch", 2700), 2700);
    model.observe("other", 1000, 5000);
    EXPECT_EQ(model.predict("batch", 2700), 2700);
}

TEST(duration_model, learns_that_estimates_are_unreliable) {
    duration_model model;
    // Estimates from a fifth to five times the length of steps that all take 2 s.
    for (int round = 0; round < 10; ++round) {
        for (const std::int64_t estimate : {400, 900, 2000, 4500, 10'000}) {
            model.observe("batch", estimate, 2000);
        }
    }
    EXPECT_NEAR(static_cast<double>(model.predict("batch", 400)), 2000, 250);
    EXPECT_NEAR(static_cast<double>(model.predict("batch", 10'000)), 2000, 250);
}

TEST(duration_model, keeps_correct_estimates) {
    duration_model model;
    for (const std::int64_t estimate : {400, 900, 2000, 4500, 10'000}) {
        model.observe("batch", estimate, estimate);
    }
    EXPECT_EQ(model.predict("batch", 1234), 1234);
}

TEST(duration_model, corrects_estimates_that_are_all_too_low) {
    duration_model model;
    for (int round = 0; round < 20; ++round) {
        for (const std::int64_t estimate : {500, 1000, 2000}) {
            model.observe("batch", estimate, 3 * estimate);
        }
    }
    EXPECT_NEAR(static_cast<double>(model.predict("batch", 1000)), 3000, 150);
}

RC_GTEST_PROP(duration_model, predicts_a_length_that_is_positive_and_finite, ()) {
    duration_model model;
    const auto seen = *rc::gen::container<std::vector<std::pair<std::int64_t, std::int64_t>>>(rc::gen::pair(
        rc::gen::inRange<std::int64_t>(-1, 100'000), rc::gen::inRange<std::int64_t>(-1, 100'000)));
    for (const auto& [estimate, actual] : seen) {
        model.observe("batch", estimate, actual);
    }
    const auto estimate = *rc::gen::inRange<std::int64_t>(1, 1'000'000);
    RC_ASSERT(model.predict("batch", estimate) >= 1);
    RC_ASSERT(model.predict("batch", estimate) < std::int64_t{1} << 40);
}

TEST(work_forecast, knows_the_length_of_a_step_that_is_done) {
    work_forecast forecast;
    const auto job = make_job(1, {1000, 3000});
    forecast.on_done({{1, 0, 0}, 0}, 700);
    forecast.on_done({{1, 0, 0}, 1}, 1900);
    forecast.on_step_done(job, {1, 0, 0});
    EXPECT_EQ(forecast.get_step_durations_ms(job, 0).at(0), 1900);
}

TEST(work_forecast, allows_for_the_time_of_failed_runs) {
    work_forecast forecast;
    const auto job = make_job(1, {1000});
    forecast.on_failed({{1, 0, 0}, 0}, 300);
    forecast.on_failed({{1, 0, 0}, 0}, 400);
    forecast.on_failed({{1, 0, 0}, 1}, 500);
    EXPECT_EQ(forecast.get_step_durations_ms(job, 0).at(0), 1700);
    EXPECT_EQ(forecast.get_step_durations_ms(job, 1).at(0), 1000); // another occurrence
    forecast.forget(1);
    EXPECT_EQ(forecast.get_step_durations_ms(job, 0).at(0), 1000);
}

TEST(work_forecast, expects_a_step_to_take_at_least_as_long_as_its_longest_task_so_far) {
    work_forecast forecast;
    const auto job = make_job(1, {1000});
    forecast.on_done({{1, 0, 0}, 0}, 2500);
    EXPECT_EQ(forecast.get_step_durations_ms(job, 0).at(0), 2500);
}

} // namespace
} // namespace poplarpitch
