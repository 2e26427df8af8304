// What a leader records for the next one, and what the next one does with records that it cannot use.
#include "poplarpitch/dispatch/learned_state.h"

#include "poplarpitch/dispatch/demand_levels.h"
#include "poplarpitch/dispatch/long_running_quota.h"
#include "poplarpitch/dispatch/work_forecast.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr std::int64_t wall_ms = 1'700'000'000'000;

class learned_state_test : public ::testing::Test {
protected:
    learned_state_test() { m_state.clear(m_now); }

    /// Writes a round two seconds later, and commits it if told so. Returns how many records it had.
    std::size_t write(const demand_levels& levels, bool is_committed = true) {
        m_now += seconds{2};
        EXPECT_TRUE(m_state.begin_round(m_now));
        m_state.add(levels, m_committed, wall_ms);
        const auto records = m_state.take_records();
        if (is_committed && !records.empty()) {
            m_committed = records;
        }
        return records.size();
    }

    time_point m_now{seconds{100}};
    learned_state m_state{learned_state_settings{}};
    std::vector<learned_record> m_committed;
};

TEST_F(learned_state_test, writes_only_what_has_changed) {
    EXPECT_EQ(write({0.5, 1000}), 1U);
    EXPECT_EQ(write({0.5, 1000}), 0U);
    EXPECT_EQ(write({0.6, 1000}), 1U);
}

TEST_F(learned_state_test, writes_again_what_was_not_committed) {
    EXPECT_EQ(write({0.5, 1000}, false), 1U);
    EXPECT_EQ(write({0.5, 1000}), 1U);
}

TEST_F(learned_state_test, writes_at_most_every_two_seconds) {
    m_now += seconds{2};
    EXPECT_TRUE(m_state.begin_round(m_now));
    m_now += milliseconds{1900};
    EXPECT_FALSE(m_state.begin_round(m_now));
}

/// A part of this size would write 4 KB a second by itself and more with others.
struct large_part {
    static constexpr std::string_view part_name = "large";
    static constexpr std::uint32_t format_version = 1;
    char fill = 'a';
    [[nodiscard]] std::string save(std::int64_t /*wall_ms*/, std::size_t max_bytes) const {
        return std::string(max_bytes, fill);
    }
    bool load(std::string_view /*body*/, std::int64_t /*wall_ms*/) { return true; }
};

TEST_F(learned_state_test, keeps_the_rate_below_its_bound) {
    constexpr int rounds = 30;
    std::size_t bytes = 0;
    large_part part;
    for (int round = 0; round < rounds; ++round) {
        m_now += seconds{2};
        ASSERT_TRUE(m_state.begin_round(m_now));
        part.fill = static_cast<char>('a' + round % 20);
        m_state.add(part, m_committed, wall_ms);
        m_state.add(demand_levels{0.01 * round, 0}, m_committed, wall_ms);
        for (const auto& record : m_state.take_records()) {
            bytes += record.body.size();
        }
    }
    const learned_state_settings settings;
    EXPECT_LE(static_cast<double>(bytes), settings.max_burst_bytes + rounds * 2 * settings.bytes_per_second);
}

TEST_F(learned_state_test, restores_what_was_written) {
    write({0.5, 1000});
    demand_levels restored;
    EXPECT_TRUE(m_state.restore(restored, m_committed, wall_ms + 5000));
    EXPECT_EQ(restored, (demand_levels{0.5, 1000}));
}

TEST_F(learned_state_test, drops_records_that_are_too_old_or_of_another_version_or_unreadable) {
    write({0.5, 1000});
    demand_levels restored{0.1, 7};
    EXPECT_FALSE(m_state.restore(restored, m_committed, wall_ms + 61'000));
    EXPECT_FALSE(m_state.restore(restored, m_committed, wall_ms - 61'000)) << "the clock was set back";
    auto other = m_committed;
    other.front().version = 9;
    EXPECT_FALSE(m_state.restore(restored, other, wall_ms));
    other = m_committed;
    other.front().body = "\xff\xff\xff";
    EXPECT_FALSE(m_state.restore(restored, other, wall_ms));
    other = m_committed;
    other.front().part = "unknown";
    EXPECT_FALSE(m_state.restore(restored, other, wall_ms));
    EXPECT_EQ(restored, (demand_levels{0.1, 7}));
}

TEST(learned_parts, durations_survive_a_change_of_the_leader) {
    work_forecast forecast;
    step_job job;
    job.id = 1;
    job.queue.name = "queue";
    step_spec step;
    step.estimate_ms = 1000;
    job.steps = {step};
    for (job_id id = 1; id <= 20; ++id) {
        job.id = id;
        forecast.on_done({{id, 0, 0}, 0}, 2500);
        forecast.on_step_done(job, {id, 0, 0});
    }
    work_forecast next;
    ASSERT_TRUE(next.load(forecast.save(wall_ms, 8192), wall_ms));
    EXPECT_EQ(next.predict_ms(job, step), forecast.predict_ms(job, step));
    EXPECT_GT(next.predict_ms(job, step), 2000);
    EXPECT_LE(forecast.save(wall_ms, 10).size(), 10U);
}

TEST(learned_parts, peaks_of_the_quota_survive_a_change_of_the_leader) {
    time_point now{seconds{100}};
    long_running_quota quota(0.8);
    quota.clear(now);
    for (int second = 0; second <= 40; ++second) {
        quota.observe("mill", {1000, 50}, now + seconds{second});
    }
    now += seconds{40};
    ASSERT_EQ(quota.get_allowed("mill", now), 925); // the others' peak is known: 1000 - 1.5 x 50
    long_running_quota next(0.8);
    next.clear(now);
    ASSERT_TRUE(next.load(quota.save(wall_ms, 8192), wall_ms));
    next.observe("mill", {1000, 0}, now);
    EXPECT_EQ(next.get_allowed("mill", now), 925);
}

} // namespace
} // namespace poplarpitch
