// Stops of long-running tasks by the scheduler's own decision must not make more tasks of a step unavailable
// than it states.
#include "poplarpitch/dispatch/disruption_budget.h"

#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/worker_state.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::uint32_t task_count = 5;

/// The runs of one job with a long-running step, all at work on one worker.
class disruption_budget_test : public ::testing::Test {
protected:
    disruption_budget_test() : m_tracks(task_count) {
        auto job = std::make_shared<step_job>();
        job->id = 7;
        auto step = make_step(task_count);
        step.long_running = true;
        step.max_unavailable = 2;
        job->steps = {step};
        m_job = job;
        for (std::uint32_t index = 0; index < task_count; ++index) {
            auto& track = m_tracks[index];
            track.key = {{{7, 0, 0}, index}, 1};
            track.job = m_job;
            track.host = &m_worker;
            track.stage = run_stage::running;
            track.percent = 100;
            track.listed_at = m_now;
            m_runs[track.key] = &track;
        }
    }

    [[nodiscard]] bool may_stop(std::uint32_t index) const {
        return disruption_budget(m_runs).may_stop(m_tracks[index], m_now);
    }

    time_point m_now{seconds{100}};
    worker_state m_worker;
    worker_state m_other_worker;
    std::shared_ptr<step_job> m_job;
    std::vector<run_track> m_tracks;
    absl::btree_map<run_key, run_track*> m_runs;
};

TEST_F(disruption_budget_test, allows_as_many_stops_as_the_step_states) {
    EXPECT_TRUE(may_stop(0));
    m_tracks[0].is_stop_wanted = true;
    EXPECT_TRUE(may_stop(1));
    m_tracks[1].is_stop_wanted = true;
    EXPECT_FALSE(may_stop(2));
}

TEST_F(disruption_budget_test, allows_none_for_a_step_with_the_limit_zero_or_without_one) {
    m_job->steps[0].max_unavailable = 0;
    EXPECT_FALSE(may_stop(0));
    m_job->steps[0].max_unavailable.reset();
    EXPECT_FALSE(may_stop(0));
}

TEST_F(disruption_budget_test, counts_a_task_as_away_that_waits_or_is_still_starting) {
    m_runs.erase(m_tracks[0].key); // it waits
    m_tracks[1].percent = 60;      // its startup is not complete
    EXPECT_FALSE(may_stop(2));
    m_tracks[1].percent = 100;
    EXPECT_TRUE(may_stop(2));
}

TEST_F(disruption_budget_test, counts_a_task_as_away_whose_worker_is_silent_or_lost) {
    m_tracks[0].host = &m_other_worker;
    m_tracks[1].host = &m_other_worker;
    EXPECT_TRUE(may_stop(2));
    m_other_worker.hold_failures = silent_after_failures;
    EXPECT_FALSE(may_stop(2));
    m_other_worker.hold_failures = 0;
    m_other_worker.is_lost = true;
    EXPECT_FALSE(may_stop(2));
}

TEST_F(disruption_budget_test, counts_a_task_as_away_that_was_not_listed_recently) {
    m_tracks[0].listed_at = m_now - seconds{3};
    m_tracks[1].listed_at = m_now - seconds{3};
    EXPECT_FALSE(may_stop(2));
}

TEST_F(disruption_budget_test, counts_a_task_with_two_runs_once) {
    run_track copy = m_tracks[0];
    copy.key.run = 2;
    m_runs[copy.key] = &copy;
    m_tracks[1].is_stop_wanted = true;
    m_tracks[2].is_stop_wanted = true;
    EXPECT_FALSE(may_stop(3)) << "the second run of a task must not hide that two others are away";
}

} // namespace
} // namespace poplarpitch
