// What a leader records for the next one, and what the next one does with records that it cannot use.
#include "poplarpitch/dispatch/learned_state.h"

#include "poplarpitch/dispatch/admission_policy.h"
#include "poplarpitch/dispatch/completion_forecast.h"
#include "poplarpitch/dispatch/demand_levels.h"
#include "poplarpitch/dispatch/long_running_quota.h"
#include "poplarpitch/dispatch/work_forecast.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <limits>

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
    EXPECT_LE(static_cast<double>(bytes), rounds * 2 * settings.bytes_per_second);
    EXPECT_GE(static_cast<double>(bytes), rounds * settings.bytes_per_second) << "half of the rate is used";
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

/// Guards against an idle leader that writes records without end: smoothed values approach zero forever.
TEST_F(learned_state_test, stops_writing_when_nothing_happens) {
    long_running_quota quota(0.8);
    quota.clear(m_now);
    quota.observe("mill", {64'000, 30'000}, m_now);
    demand_levels levels{1, 30'000};
    std::size_t last_round_with_records = 0;
    constexpr std::size_t rounds = 1000;
    for (std::size_t round = 0; round < rounds; ++round) {
        m_now += seconds{2};
        quota.observe("mill", {64'000, 0}, m_now);
        levels.filling_backlog *= 0.8;
        levels.short_task_millicores *= 0.8;
        ASSERT_TRUE(m_state.begin_round(m_now));
        m_state.add(quota, m_committed, wall_ms);
        m_state.add(levels, m_committed, wall_ms);
        for (auto& record : m_state.take_records()) {
            last_round_with_records = round;
            std::erase_if(m_committed,
                          [&](const learned_record& known) { return known.part == record.part; });
            m_committed.push_back(std::move(record));
        }
    }
    EXPECT_GT(last_round_with_records, 0U);
    EXPECT_LT(last_round_with_records, rounds / 2);
}

/// Guards against a record for each part that has nothing to say.
TEST_F(learned_state_test, writes_no_record_of_a_part_that_has_learned_nothing) {
    EXPECT_EQ(write({}), 0U);
    EXPECT_EQ(write({0.5, 0}), 1U);
    EXPECT_EQ(write({}), 1U) << "what was recorded no longer holds";
}

/// Guards against an overflow where the time of a damaged record is far from any clock.
TEST_F(learned_state_test, drops_records_with_impossible_times) {
    write({0.5, 1000});
    demand_levels restored{0.1, 7};
    for (const auto written_ms :
         {std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()}) {
        m_committed.front().written_ms = written_ms;
        EXPECT_FALSE(m_state.restore(restored, m_committed, wall_ms));
    }
    EXPECT_EQ(restored, (demand_levels{0.1, 7}));
}

/// Guards against a body larger than its bound, which would take the whole rate.
TEST_F(learned_state_test, leaves_out_a_part_that_exceeds_its_bound) {
    learned_state_settings settings;
    settings.max_part_bytes = 4;
    learned_state small(settings);
    small.clear(m_now);
    m_now += seconds{2};
    ASSERT_TRUE(small.begin_round(m_now));
    small.add(demand_levels{0.5, 1000}, m_committed, wall_ms); // 18 bytes, which cannot be cut
    EXPECT_TRUE(small.take_records().empty());
}

/// Guards against predictions that no integer holds, from sums that no steps can have.
TEST(learned_parts, durations_leave_out_impossible_sums) {
    job_wire::learned_durations message;
    const auto add = [&](const std::string& queue, double count, double x, double xx, double y, double xy) {
        auto& item = *message.add_queues();
        item.set_queue(queue);
        item.set_count(count);
        item.set_x(x);
        item.set_xx(xx);
        item.set_y(y);
        item.set_xy(xy);
    };
    const auto infinity = std::numeric_limits<double>::infinity();
    add("infinite", 1, infinity, 1, 1, 1);
    add("huge", 1, 7, 49, 1e300, 1e300);
    add("negative variance", 10, 70, 0, 1, 7);
    add("no count", 0, 7, 49, 1, 7);
    add("not a number", 1, 7, 49, std::numeric_limits<double>::quiet_NaN(), 7);
    add("steep", 10, 70, 490, 100, 8000);
    work_forecast forecast;
    ASSERT_TRUE(forecast.load(message.SerializeAsString(), wall_ms));
    step_job job;
    step_spec step;
    step.estimate_ms = 1000;
    for (const auto& item : message.queues()) {
        job.queue.name = item.queue();
        if (item.queue() == "steep") {
            step.estimate_ms = 1'000'000'000;
            EXPECT_GT(forecast.predict_ms(job, step), 0);
        } else {
            EXPECT_EQ(forecast.predict_ms(job, step), step.estimate_ms) << item.queue();
        }
    }
}

/// Guards against bytes that depend on the order in which queues were first seen.
TEST(learned_parts, the_same_durations_give_the_same_bytes) {
    constexpr int queues = 40;
    const auto make = [](bool is_reversed) {
        work_forecast forecast;
        step_job job;
        step_spec step;
        step.estimate_ms = 1000;
        job.steps = {step};
        for (int number = 0; number < queues; ++number) {
            const auto queue = is_reversed ? queues - 1 - number : number;
            job.id = static_cast<job_id>(queue) + 1;
            job.queue.name = "queue" + std::to_string(queue);
            forecast.on_done({{job.id, 0, 0}, 0}, 1000 + queue);
            forecast.on_step_done(job, {job.id, 0, 0});
        }
        return forecast.save(wall_ms, 8192);
    };
    EXPECT_EQ(make(false), make(true));
    EXPECT_FALSE(make(false).empty());
}

/// Guards against peaks of a former load that outlive a second load.
TEST(learned_parts, the_quota_replaces_what_it_loaded_before) {
    const time_point now{seconds{100}};
    long_running_quota former(0.8);
    former.clear(now - seconds{40});
    former.observe("mill", {1000, 50}, now - seconds{40});
    former.observe("mill", {1000, 50}, now);
    long_running_quota next(0.8);
    next.clear(now);
    ASSERT_TRUE(next.load(former.save(wall_ms, 8192), wall_ms));
    ASSERT_TRUE(next.load("", wall_ms));
    next.observe("mill", {1000, 0}, now);
    EXPECT_EQ(next.get_allowed("mill", now), 800) << "the share, as for an unknown pool";
}

/// Guards against a caller that is told to wait an hour, and room kept for it, after a clock is set back.
TEST(learned_parts, promises_end_when_the_clock_is_set_back) {
    const room_key room{"mill", true};
    job_wire::learned_promises message;
    auto& item = *message.add_promises();
    item.set_job(7);
    item.set_pool(room.pool);
    item.set_is_filling(room.is_filling);
    item.set_due_ms(wall_ms + 5000);
    item.set_core_ms(100);
    admission_policy policy{admission_policy_settings{}};
    ASSERT_TRUE(policy.load(message.SerializeAsString(), wall_ms));
    EXPECT_EQ(policy.count_promises(), 1U);
    const auto earlier_ms = wall_ms - 3'600'000;
    const time_point now{seconds{100}};
    const completion_forecast forecast;
    static_cast<void>(policy.decide({8, room, 0, 100, 100, 1000}, "queue", forecast, now, earlier_ms));
    EXPECT_EQ(policy.count_promises(), 0U);
    EXPECT_TRUE(policy.load(message.SerializeAsString(), earlier_ms));
    EXPECT_EQ(policy.count_promises(), 0U) << "a record from the future by this clock";
    item.set_due_ms(std::numeric_limits<std::int64_t>::min());
    EXPECT_TRUE(policy.load(message.SerializeAsString(), wall_ms));
    EXPECT_EQ(policy.count_promises(), 0U);
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
