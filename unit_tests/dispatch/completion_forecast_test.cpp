// Forecasts of when a submitted job would be completed.
#include "poplarpitch/dispatch/completion_forecast.h"

#include <gtest/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

const room_key filling{"mill", true};
const room_key whole_cores{"mill", false};

job_work make_job(job_id id, double core_ms, std::int64_t time_left_ms, int priority = 0) {
    return {id, filling, priority, core_ms, 1000, time_left_ms};
}

/// A forecast that has measured a drain rate of 10 cores for 4 s.
class completion_forecast_test : public ::testing::Test {
protected:
    completion_forecast_test() {
        m_forecast.clear(m_now);
        for (int round = 0; round < 8; ++round) {
            pass(milliseconds{500}, 10, {});
        }
    }

    /// Lets time pass in which the workers finish work at `cores` while tasks wait.
    void pass(duration step, double cores, const std::vector<job_work>& open) {
        m_now += step;
        m_forecast.on_task_done(0, filling, cores * static_cast<double>(to_milliseconds(step)));
        m_forecast.set_open(open, m_now);
        m_forecast.measure({filling}, m_now);
    }

    time_point m_now{seconds{100}};
    completion_forecast m_forecast;
};

TEST_F(completion_forecast_test, measures_the_drain_rate_while_tasks_wait) {
    EXPECT_NEAR(m_forecast.get_drain(filling), 10, 0.01);
    EXPECT_EQ(m_forecast.get_drain(whole_cores), 0);
}

TEST_F(completion_forecast_test, adds_the_work_ahead_to_the_critical_path) {
    pass(milliseconds{500}, 10, {make_job(1, 20'000, 3000)}); // 2 s of the room
    const auto expected = m_forecast.forecast(make_job(2, 5000, 9000), 0, m_now);
    ASSERT_TRUE(expected.has_value());
    EXPECT_NEAR(to_seconds(*expected), 3.0, 0.05);
}

/// A job that can be in time is served before one with more time left and before those that are late.
TEST_F(completion_forecast_test, does_not_wait_for_jobs_that_are_served_later) {
    auto late = make_job(1, 500'000, -2000);
    auto later = make_job(2, 500'000, 60'000);
    auto worse = make_job(3, 500'000, 2000, 1);
    pass(milliseconds{500}, 10, {late, later, worse});
    const auto expected = m_forecast.forecast(make_job(4, 5000, 9000), 0, m_now);
    ASSERT_TRUE(expected.has_value());
    EXPECT_NEAR(to_seconds(*expected), 1.0, 0.05);
}

TEST_F(completion_forecast_test, waits_for_all_jobs_of_better_priority) {
    pass(milliseconds{500}, 10, {make_job(1, 40'000, 60'000, 0)});
    const auto expected = m_forecast.forecast(make_job(2, 5000, 9000, 1), 0, m_now);
    ASSERT_TRUE(expected.has_value());
    EXPECT_NEAR(to_seconds(*expected), 5.0, 0.05);
}

/// Load pattern: arrivals that can be in time take the whole drain rate, and late jobs get nothing for as
/// long as the overload lasts.
TEST_F(completion_forecast_test, gives_a_late_job_no_end_while_arrivals_take_the_whole_drain_rate) {
    job_id id = 10;
    for (int round = 0; round < 12; ++round) {
        m_forecast.on_accepted(make_job(id++, 12'000, 9000), {}, m_now); // 24 cores
        pass(milliseconds{500}, 10, {make_job(1, 200'000, 5000)});
    }
    const auto expected = m_forecast.forecast(make_job(2, 5000, 9000), 0, m_now);
    ASSERT_TRUE(expected.has_value());
    EXPECT_EQ(*expected, completion_forecast::unbounded);
}

TEST_F(completion_forecast_test, forecasts_nothing_while_no_task_waits) {
    m_now += milliseconds{500};
    m_forecast.set_open({}, m_now);
    m_forecast.measure({}, m_now);
    EXPECT_FALSE(m_forecast.forecast(make_job(1, 5000, 9000), 0, m_now).has_value());
}

TEST(completion_forecast, forecasts_nothing_before_a_drain_rate_is_known) {
    completion_forecast forecast;
    forecast.clear(time_point{seconds{100}});
    const time_point now{seconds{101}};
    forecast.set_open({make_job(1, 1e9, 3000)}, now);
    forecast.measure({filling}, now);
    EXPECT_FALSE(forecast.forecast(make_job(2, 5000, 9000), 0, now).has_value());
}

TEST_F(completion_forecast_test, counts_accepted_jobs_before_the_next_update) {
    m_forecast.on_accepted(make_job(1, 50'000, 3000), {}, m_now);
    const auto expected = m_forecast.forecast(make_job(2, 5000, 20'000), 0, m_now);
    ASSERT_TRUE(expected.has_value());
    EXPECT_NEAR(to_seconds(*expected), 6.0, 0.05);
}

TEST_F(completion_forecast_test, the_next_leader_starts_with_the_drain_rate) {
    completion_forecast next;
    next.clear(m_now);
    ASSERT_TRUE(next.load(m_forecast.save(0, 8192), 0));
    EXPECT_EQ(next.get_drain(filling), 10);
    EXPECT_FALSE(next.load("\xff\xff", 0));
    EXPECT_EQ(next.get_drain(filling), 10) << "an unreadable record changes nothing";
}

TEST_F(completion_forecast_test, returns_the_forecast_of_a_job_once) {
    m_forecast.on_accepted(make_job(1, 1, 3000), seconds{4}, m_now);
    EXPECT_EQ(m_forecast.on_ended(1), std::optional<duration>(seconds{4}));
    EXPECT_FALSE(m_forecast.on_ended(1).has_value());
}

/// Work that was promised to others is served before a job that is submitted now.
TEST_F(completion_forecast_test, adds_the_promised_work) {
    const auto expected = m_forecast.forecast(make_job(2, 5000, 9000), 30'000, m_now);
    ASSERT_TRUE(expected.has_value());
    EXPECT_NEAR(to_seconds(*expected), 4.0, 0.05);
}

TEST_F(completion_forecast_test, counts_neither_ended_tasks_nor_ended_jobs) {
    m_forecast.on_accepted(make_job(1, 50'000, 3000), {}, m_now);
    m_forecast.on_accepted(make_job(2, 20'000, 3000), {}, m_now);
    m_forecast.on_task_done(1, filling, 10'000);
    m_forecast.on_ended(2);
    const auto expected = m_forecast.forecast(make_job(3, 5000, 20'000), 0, m_now);
    ASSERT_TRUE(expected.has_value());
    EXPECT_NEAR(to_seconds(*expected), 5.0, 0.05);
}

/// A job that is being committed is not among the open ones. If it did not count, all jobs that arrive
/// during a slow commit would find the same room.
TEST_F(completion_forecast_test, counts_a_job_that_is_being_committed) {
    m_forecast.on_accepted(make_job(1, 50'000, 3000), {}, m_now);
    pass(milliseconds{500}, 10, {});
    EXPECT_TRUE(m_forecast.contains(1));
    EXPECT_NEAR(to_seconds(m_forecast.forecast(make_job(2, 5000, 20'000), 0, m_now).value()), 6.0, 0.05);
    pass(seconds{3}, 10, {});
    EXPECT_FALSE(m_forecast.contains(1)) << "a command without a result must not count for ever";
}

/// A job past its late limit ranks behind all others of its priority, and before those of worse priority.
TEST_F(completion_forecast_test, serves_a_job_past_its_late_limit_last) {
    auto worthless = make_job(1, 80'000, -20'000);
    worthless.is_past_limit = true;
    pass(milliseconds{500}, 10, {worthless, make_job(2, 60'000, 2000)});
    EXPECT_NEAR(to_seconds(m_forecast.forecast(make_job(3, 5000, 4000), 0, m_now).value()), 7.0, 0.05)
        << "late, so it waits for all that are not worthless";
    EXPECT_NEAR(to_seconds(m_forecast.forecast(make_job(4, 5000, 20'000, 1), 0, m_now).value()), 15.0, 0.05);
}

/// Where a task takes longer than the interval of the measurement, intervals without an end must count.
TEST_F(completion_forecast_test, measures_the_drain_rate_of_long_tasks) {
    for (int round = 0; round < 40; ++round) {
        pass(milliseconds{500}, round % 4 == 0 ? 20 : 0, {});
    }
    EXPECT_NEAR(m_forecast.get_drain(filling), 5, 0.5);
}

/// Work is summed by ranges of latest starts, so that a forecast does not walk all open jobs. The sums must
/// agree with the jobs.
TEST_F(completion_forecast_test, sums_the_work_of_20000_open_jobs_as_one_by_one) {
    constexpr double job_core_ms = 20;
    const auto submitted = make_job(30'000, 5000, 50'000);
    std::vector<job_work> open;
    double ahead_core_ms = 0;
    for (job_id id = 1; id <= 20'000; ++id) {
        open.push_back(make_job(id, job_core_ms, static_cast<std::int64_t>(id * 7 % 60'000) - 5000));
        const auto& job = open.back();
        ahead_core_ms += job.may_be_in_time() && job.time_left_ms <= submitted.time_left_ms ? job_core_ms : 0;
    }
    pass(milliseconds{500}, 10, open);
    const auto expected_s = ahead_core_ms / 10 / 1000 + 1;
    EXPECT_NEAR(to_seconds(m_forecast.forecast(submitted, 0, m_now).value()), expected_s, 0.02 * expected_s);
}

TEST_F(completion_forecast_test, gives_the_time_in_which_the_waiting_work_is_done) {
    pass(milliseconds{500}, 10, {make_job(1, 20'000, 3000), make_job(2, 30'000, 9000, 1)});
    EXPECT_NEAR(to_seconds(m_forecast.get_backlog_time()), 5.0, 0.05);
}

/// Work that runs and leaves nothing waiting is no reason for callers to stay away.
TEST_F(completion_forecast_test, has_no_backlog_time_while_no_task_waits) {
    m_now += milliseconds{500};
    m_forecast.set_open({make_job(1, 20'000, 3000)}, m_now);
    m_forecast.measure({}, m_now);
    EXPECT_EQ(m_forecast.get_backlog_time(), duration{0});
    pass(milliseconds{500}, 10, {});
    EXPECT_EQ(m_forecast.get_backlog_time(), duration{0});
}

TEST_F(completion_forecast_test, has_no_backlog_time_while_the_drain_rate_is_not_known) {
    m_forecast.clear(m_now);
    m_now += milliseconds{500};
    m_forecast.set_open({make_job(1, 20'000, 3000)}, m_now);
    m_forecast.measure({filling}, m_now);
    EXPECT_EQ(m_forecast.get_backlog_time(), duration{0});
}

TEST_F(completion_forecast_test, takes_the_backlog_time_of_the_slowest_room) {
    auto other = make_job(2, 60'000, 9000);
    other.room = whole_cores;
    for (int round = 0; round < 8; ++round) {
        m_now += milliseconds{500};
        m_forecast.on_task_done(0, filling, 5000);
        m_forecast.on_task_done(0, whole_cores, 10'000);
        m_forecast.set_open({make_job(1, 20'000, 3000), other}, m_now);
        m_forecast.measure({filling, whole_cores}, m_now);
    }
    EXPECT_NEAR(to_seconds(m_forecast.get_backlog_time()), 3.0, 0.05); // 2 s and 3 s
}

} // namespace
} // namespace poplarpitch
