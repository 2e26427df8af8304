// Refusal of jobs that would be completed too late, and the return of those that were refused.
#include "poplarpitch/dispatch/admission_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace poplarpitch {
namespace {

const room_key room{"mill", true};
constexpr std::int64_t wall_start_ms = 1'700'000'000'000;
constexpr double drain_cores = 10;

/// A policy beside a forecast with a drain rate of 10 cores and as much work ahead as a test sets.
class admission_policy_test : public ::testing::Test {
protected:
    admission_policy_test() {
        m_forecast.clear(m_now);
        for (int round = 0; round < 8; ++round) {
            set_work_ahead(0);
        }
    }

    /// Half a second passes; then this much work of better priority is open.
    void set_work_ahead(double core_ms) {
        m_now += milliseconds{500};
        m_wall_ms += 500;
        m_forecast.on_task_done(0, room, drain_cores * 500);
        m_forecast.set_open({{99, room, 0, core_ms, 100, 100}}, m_now);
        m_forecast.measure({room}, m_now);
    }

    /// Submits a job with an objective of 4 s, so a late limit of 12 s.
    admission_policy::decision submit(job_id id) {
        return m_policy.decide({id, room, 1, 10'000, 1000, 4000}, "queue", m_forecast, m_now, m_wall_ms);
    }

    /// Lets forecasts be past the late limit until refusal begins.
    void start_refusing() {
        set_work_ahead(200'000); // 20 s
        static_cast<void>(submit(1));
        set_work_ahead(200'000);
        set_work_ahead(200'000);
        ASSERT_FALSE(submit(1).is_admitted);
    }

    time_point m_now{seconds{100}};
    std::int64_t m_wall_ms = wall_start_ms;
    completion_forecast m_forecast;
    admission_policy m_policy{admission_policy_settings{}};
};

TEST_F(admission_policy_test, admits_a_job_that_is_late_but_within_the_late_limit) {
    for (int round = 0; round < 6; ++round) {
        set_work_ahead(80'000); // 8 s, for an objective of 4 s and a limit of 12 s
        EXPECT_TRUE(submit(static_cast<job_id>(round)).is_admitted);
    }
}

TEST_F(admission_policy_test, refuses_nobody_in_a_burst_of_less_than_a_second) {
    set_work_ahead(200'000);
    EXPECT_TRUE(submit(1).is_admitted);
    set_work_ahead(200'000);
    EXPECT_TRUE(submit(2).is_admitted);
    set_work_ahead(0);
    EXPECT_TRUE(submit(3).is_admitted);
    set_work_ahead(200'000);
    EXPECT_TRUE(submit(4).is_admitted) << "the second burst must not count as part of the first";
}

TEST_F(admission_policy_test, refuses_at_once_after_a_second_past_the_late_limit) {
    start_refusing();
    const auto refused = submit(2);
    EXPECT_FALSE(refused.is_admitted);
    EXPECT_GE(refused.retry_after, seconds{15}); // 20 s of work ahead, less 3 s of slack
    EXPECT_LE(refused.retry_after, seconds{20});
}

TEST_F(admission_policy_test, ends_the_refusal_once_forecasts_are_well_within_the_limit) {
    start_refusing();
    set_work_ahead(100'000); // 11 s of 12 s
    EXPECT_FALSE(submit(2).is_admitted) << "the forecast is not yet well within the limit";
    set_work_ahead(50'000);
    EXPECT_TRUE(submit(3).is_admitted);
    set_work_ahead(50'000);
    set_work_ahead(50'000);
    EXPECT_TRUE(submit(4).is_admitted);
    set_work_ahead(105'000); // past 0.8 of the limit, but within it
    EXPECT_TRUE(submit(5).is_admitted) << "the refusal has ended, so only the limit counts";
}

/// Callers that return at the same moment would press the same way again.
TEST_F(admission_policy_test, staggers_the_returns_by_the_drain_rate) {
    start_refusing();
    std::vector<duration> waits;
    for (job_id id = 100; id < 120; ++id) {
        const auto refused = submit(id);
        ASSERT_FALSE(refused.is_admitted);
        waits.push_back(refused.retry_after);
    }
    EXPECT_TRUE(std::is_sorted(waits.begin(), waits.end()));
    EXPECT_NEAR(to_seconds(waits.back() - waits.front()), 19, 0.2); // 1 s of the room each
}

TEST_F(admission_policy_test, admits_a_caller_that_returns_at_its_time_before_others) {
    start_refusing();
    const auto refused = submit(7);
    const auto due = m_now + refused.retry_after;
    while (m_now < due) {
        set_work_ahead(105'000); // 11.5 s of 12 s: within the limit, but not well within it
    }
    EXPECT_FALSE(submit(8).is_admitted);
    const auto returned = submit(7);
    EXPECT_TRUE(returned.is_admitted);
    EXPECT_TRUE(returned.was_promised);
}

TEST_F(admission_policy_test, tells_a_caller_that_returns_early_the_same_time_again) {
    start_refusing();
    const auto due = m_wall_ms + to_milliseconds(submit(7).retry_after);
    set_work_ahead(200'000);
    const auto again = submit(7);
    EXPECT_FALSE(again.is_admitted);
    EXPECT_FALSE(again.was_promised);
    EXPECT_EQ(m_wall_ms + to_milliseconds(again.retry_after), due);
}

TEST_F(admission_policy_test, refuses_a_returning_caller_whose_forecast_is_still_past_the_limit) {
    start_refusing();
    const auto due = m_now + submit(7).retry_after;
    while (m_now < due) {
        set_work_ahead(300'000);
    }
    EXPECT_FALSE(submit(7).is_admitted);
}

TEST_F(admission_policy_test, bounds_the_promises_and_drops_expired_ones) {
    start_refusing();
    for (job_id id = 1000; id < 7000; ++id) {
        static_cast<void>(submit(id));
    }
    EXPECT_EQ(m_policy.count_promises(), admission_policy_settings{}.max_promises);
    const admission_policy_settings settings;
    m_wall_ms += to_milliseconds(settings.max_retry_after + settings.promise_lifetime) + 1;
    static_cast<void>(submit(1));
    EXPECT_LE(m_policy.count_promises(), 1U);
}

TEST_F(admission_policy_test, the_next_leader_keeps_the_promises) {
    start_refusing();
    static_cast<void>(submit(7));
    admission_policy next{admission_policy_settings{}};
    ASSERT_TRUE(next.load(m_policy.save(m_wall_ms, 8192), m_wall_ms));
    EXPECT_EQ(next.count_promises(), m_policy.count_promises());
    const auto early = next.decide({7, room, 1, 10'000, 1000, 4000}, "queue", m_forecast, m_now, m_wall_ms);
    EXPECT_TRUE(early.is_admitted) << "a new leader refuses only after its own second past the limit";
    EXPECT_FALSE(early.was_promised);
}

TEST_F(admission_policy_test, saves_the_next_returns_where_not_all_fit) {
    start_refusing();
    for (job_id id = 1000; id < 2000; ++id) {
        static_cast<void>(submit(id));
    }
    const auto body = m_policy.save(m_wall_ms, 4096);
    EXPECT_LE(body.size(), 4096U);
    admission_policy next{admission_policy_settings{}};
    ASSERT_TRUE(next.load(body, m_wall_ms));
    EXPECT_GT(next.count_promises(), 50U);
    EXPECT_FALSE(next.load("\xff\xff", m_wall_ms));
}

TEST_F(admission_policy_test, refuses_nobody_while_no_forecast_is_known) {
    start_refusing();
    completion_forecast unknown;
    unknown.clear(m_now);
    const auto decided =
        m_policy.decide({50, room, 1, 10'000, 1000, 4000}, "queue", unknown, m_now, m_wall_ms);
    EXPECT_TRUE(decided.is_admitted);
    EXPECT_FALSE(decided.expected.has_value());
}

/// A returning caller must not fare worse than a new one while the patience of a second burst runs.
TEST_F(admission_policy_test, admits_a_returning_caller_while_nobody_is_refused) {
    start_refusing();
    const auto due = m_now + submit(7).retry_after;
    for (job_id id = 1000; m_now < due; ++id) {
        set_work_ahead(0);
        static_cast<void>(submit(id)); // ends the refusal
    }
    set_work_ahead(200'000);
    EXPECT_TRUE(submit(7).is_admitted);
}

/// Two bursts of under a second with nothing submitted between them must not count as one long one.
TEST_F(admission_policy_test, refuses_nobody_in_a_second_burst_after_a_pause) {
    set_work_ahead(200'000);
    EXPECT_TRUE(submit(1).is_admitted);
    for (int round = 0; round < 20; ++round) {
        set_work_ahead(0);
    }
    set_work_ahead(200'000);
    EXPECT_TRUE(submit(2).is_admitted);
}

/// A new submission must not take the room that a refused caller was told to return for.
TEST_F(admission_policy_test, counts_promised_work_for_new_submissions_only) {
    start_refusing();
    for (job_id id = 100; id < 120; ++id) { // 20 s of the room
        ASSERT_FALSE(submit(id).is_admitted);
    }
    while (m_policy.count_promises() > 0 && m_wall_ms < wall_start_ms + 25'000) {
        set_work_ahead(10'000);
    }
    EXPECT_FALSE(submit(500).is_admitted) << "1 s of work ahead, and 20 s promised";
    EXPECT_TRUE(submit(100).is_admitted);
}

} // namespace
} // namespace poplarpitch
