// The watch reports a job exactly when it has nothing running for longer than allowed.
#include "unit_tests/dispatch/idle_job_watch.h"

#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

constexpr duration tick = milliseconds{10};
constexpr duration long_time = seconds{20};

class idle_job_watch_test : public testing::Test {
protected:
    idle_job_watch_test() {
        m_report.capacity = {16000, 16000, 0};
        m_spec.millicores = 4000;
        m_spec.memory_mb = 1000;
    }

    /// Advances the time while the job, if so, and other tasks that need `used` run.
    void observe(duration length, bool is_running = false) {
        watched_worker worker{&m_report, true, m_is_sound, {}};
        if (is_running) {
            worker.runs.push_back({{m_due.step, 0}, &m_spec});
        }
        if (m_other.millicores > 0 || m_other.memory_mb > 0) {
            worker.runs.push_back({{{2, 0, 0}, 0}, &m_other});
        }
        for (duration passed{0}; passed < length; passed += tick) {
            m_now += tick;
            m_watch.observe({worker}, m_is_due ? std::vector<due_step>{m_due} : std::vector<due_step>{},
                            m_now);
        }
    }

    [[nodiscard]] std::size_t count(idle_finding finding) const {
        std::size_t found = 0;
        for (const auto& item : m_watch.get_found()) {
            found += item.finding == finding ? 1 : 0;
        }
        return found;
    }

    time_point m_now{seconds{100}};
    step_spec m_spec = make_step();
    step_spec m_other{.millicores = 0};
    due_step m_due{{1, 0, 0}, &m_spec};
    worker_report m_report;
    bool m_is_sound = true;
    bool m_is_due = true;
    idle_job_watch m_watch{m_now + tick};
};

TEST_F(idle_job_watch_test, reports_a_job_after_3_s_with_nothing_running) {
    observe(seconds{3});
    EXPECT_EQ(count(idle_finding::continuous), 0U);
    EXPECT_TRUE(m_watch.find_idle().empty());
    observe(tick * 2);
    EXPECT_EQ(count(idle_finding::continuous), 1U);
    EXPECT_EQ(m_watch.find_idle().size(), 1U);
    observe(long_time);
    EXPECT_EQ(count(idle_finding::continuous), 1U) << "a wait is reported once";
    EXPECT_EQ(count(idle_finding::looks), 1U);
}

TEST_F(idle_job_watch_test, reports_by_looks_a_job_that_runs_only_between_them) {
    observe(milliseconds{500});
    for (int run = 0; run < 2; ++run) {
        observe(milliseconds{700}, true);
        observe(milliseconds{800});
    }
    EXPECT_EQ(count(idle_finding::looks), 1U);
    EXPECT_EQ(count(idle_finding::continuous), 0U);
    EXPECT_EQ(m_watch.find_idle().size(), 1U);
}

TEST_F(idle_job_watch_test, begins_anew_with_each_look_that_sees_a_run) {
    observe(milliseconds{1600});
    for (int look = 0; look < 6; ++look) {
        const bool runs = look % 2 == 0;
        observe(milliseconds{1500}, runs);
    }
    EXPECT_TRUE(m_watch.get_found().empty());
    EXPECT_TRUE(m_watch.find_idle().empty());
}

TEST_F(idle_job_watch_test, reports_nothing_while_the_job_runs_or_has_nothing_due) {
    observe(long_time, true);
    m_is_due = false;
    observe(long_time);
    EXPECT_TRUE(m_watch.get_found().empty());
    EXPECT_EQ(m_watch.count_idle(), 0U);
}

TEST_F(idle_job_watch_test, reports_while_calm_only_what_began_4_s_after_a_disruption) {
    observe(seconds{2});
    m_watch.record_disruption(m_now);
    observe(seconds{7});
    EXPECT_TRUE(m_watch.get_found().empty());
    EXPECT_EQ(m_watch.find_idle().size(), 1U);
    observe(milliseconds{1500});
    EXPECT_EQ(count(idle_finding::continuous), 1U);
    EXPECT_EQ(count(idle_finding::looks), 1U);
}

TEST_F(idle_job_watch_test, reports_nothing_while_half_of_a_dimension_is_in_use) {
    m_other.millicores = 8000;
    observe(long_time);
    m_other = {};
    m_other.memory_mb = 8000;
    observe(long_time);
    EXPECT_TRUE(m_watch.get_found().empty());
    m_other.memory_mb = 7999;
    observe(seconds{4});
    EXPECT_EQ(count(idle_finding::continuous), 1U);
}

TEST_F(idle_job_watch_test, counts_no_processor_time_of_filling_tasks) {
    m_other.millicores = 16000;
    m_other.is_filling = true;
    observe(seconds{4});
    EXPECT_EQ(count(idle_finding::continuous), 1U);
}

TEST_F(idle_job_watch_test, requires_room_twice_over_on_sound_workers_that_stay) {
    m_spec.millicores = 8001;
    observe(long_time);
    m_spec.millicores = 8000;
    m_spec.required_label = "fast";
    observe(long_time);
    m_spec.required_label.clear();
    m_spec.max_per_worker = 1;
    observe(long_time);
    m_spec.max_per_worker = 0;
    m_is_sound = false;
    observe(long_time);
    m_is_sound = true;
    m_report.is_draining = true;
    observe(long_time);
    EXPECT_TRUE(m_watch.get_found().empty());
    m_report.is_draining = false;
    observe(seconds{4});
    EXPECT_EQ(count(idle_finding::continuous), 1U);
}

TEST_F(idle_job_watch_test, requires_room_for_a_whole_gang_twice_over) {
    m_spec.gang = true;
    m_spec.count = 3;
    observe(long_time);
    EXPECT_TRUE(m_watch.get_found().empty());
    m_spec.count = 2;
    observe(seconds{4});
    EXPECT_EQ(count(idle_finding::continuous), 1U);
}

TEST_F(idle_job_watch_test, allows_long_running_tasks_6_s_more) {
    m_spec.long_running = true;
    observe(seconds{2}, true);
    observe(seconds{9});
    EXPECT_TRUE(m_watch.get_found().empty());
    observe(tick * 2);
    EXPECT_EQ(count(idle_finding::continuous), 1U);
}

} // namespace
} // namespace poplarpitch
