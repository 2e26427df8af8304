// The watch reports a long-running task exactly when it stands still for longer than allowed.
#include "unit_tests/dispatch/long_running_watch.h"

#include <gtest/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

constexpr duration tick = milliseconds{10};
constexpr worker_amounts small_capacity{4000, 1000, 1};

class long_running_watch_test : public testing::Test {
protected:
    long_running_watch_test() {
        m_spec.long_running = true;
        m_spec.millicores = 2000;
        m_spec.memory_mb = 500;
        m_report.capacity = small_capacity;
        m_watch.add_task(m_task, m_spec, m_now);
    }

    void observe(duration length) {
        watched_worker worker{&m_report, true, m_is_sound, {}};
        if (m_is_running) {
            worker.runs.push_back({m_task, &m_spec});
        }
        for (duration passed{0}; passed < length; passed += tick) {
            m_now += tick;
            m_watch.observe({worker}, m_now);
        }
    }

    [[nodiscard]] std::size_t count_stalled() const { return m_watch.get_stalled().size(); }

    time_point m_now{seconds{100}};
    task_key m_task{{1, 0, 0}, 0};
    step_spec m_spec;
    worker_report m_report;
    bool m_is_sound = true;
    bool m_is_running = false;
    long_running_watch m_watch;
};

TEST_F(long_running_watch_test, reports_a_task_9_s_after_its_acceptance) {
    observe(seconds{9});
    EXPECT_EQ(count_stalled(), 0U);
    observe(tick);
    EXPECT_EQ(count_stalled(), 1U);
}

TEST_F(long_running_watch_test, reports_a_task_9_s_after_its_last_run) {
    m_is_running = true;
    observe(seconds{20});
    m_is_running = false;
    observe(seconds{9});
    EXPECT_EQ(count_stalled(), 0U);
    observe(tick);
    EXPECT_EQ(count_stalled(), 1U);
}

TEST_F(long_running_watch_test, reports_a_wait_once) {
    observe(seconds{15});
    ASSERT_EQ(count_stalled(), 1U);
    EXPECT_EQ(m_watch.get_stalled().front().waited, seconds{15});
}

TEST_F(long_running_watch_test, waits_for_7_s_of_calm) {
    observe(seconds{8});
    m_watch.record_disruption(m_now);
    observe(seconds{7});
    EXPECT_EQ(count_stalled(), 0U);
    observe(tick);
    EXPECT_EQ(count_stalled(), 1U);
}

TEST_F(long_running_watch_test, waits_for_3_s_of_room) {
    m_is_sound = false;
    observe(seconds{20});
    m_is_sound = true;
    observe(seconds{3});
    EXPECT_EQ(count_stalled(), 0U);
    observe(tick * 2);
    EXPECT_EQ(count_stalled(), 1U);
}

TEST_F(long_running_watch_test, requires_room_twice_over_in_every_dimension) {
    const auto draw = [this](const worker_amounts& capacity, const worker_amounts& need) {
        m_report.capacity = capacity;
        m_spec.millicores = need.millicores;
        m_spec.memory_mb = need.memory_mb;
        m_spec.accelerators = need.accelerators;
        const watched_worker worker{&m_report, true, true, {}};
        return count_room(m_task.step, m_spec, {worker}, 2);
    };
    EXPECT_EQ(draw({4000, 1000, 2}, {2000, 500, 1}), 2U);
    EXPECT_EQ(draw({3999, 1000, 2}, {2000, 500, 1}), 1U);
    EXPECT_EQ(draw({4000, 999, 2}, {2000, 500, 1}), 1U);
    EXPECT_EQ(draw({4000, 1000, 1}, {2000, 500, 1}), 1U);
}

TEST_F(long_running_watch_test, counts_label_limit_and_draining) {
    const watched_worker worker{&m_report, true, true, {}};
    EXPECT_EQ(count_room(m_task.step, m_spec, {worker}, 2), 2U);
    m_spec.max_per_worker = 1;
    EXPECT_EQ(count_room(m_task.step, m_spec, {worker}, 2), 1U);
    const watched_worker busy{&m_report, true, true, {{{m_task.step, 1}, &m_spec}}};
    EXPECT_EQ(count_room(m_task.step, m_spec, {busy}, 2), 0U);
    m_spec.max_per_worker = 0;
    m_spec.required_label = "fast";
    EXPECT_EQ(count_room(m_task.step, m_spec, {worker}, 2), 0U);
    m_report.labels = {"fast"};
    EXPECT_EQ(count_room(m_task.step, m_spec, {worker}, 2), 2U);
    m_report.is_draining = true;
    EXPECT_EQ(count_room(m_task.step, m_spec, {worker}, 2), 0U);
}

TEST_F(long_running_watch_test, ignores_a_cancelled_job) {
    m_watch.remove_job(m_task.step.job);
    observe(seconds{20});
    EXPECT_EQ(count_stalled(), 0U);
}

} // namespace
} // namespace poplarpitch
