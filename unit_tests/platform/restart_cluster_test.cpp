// Runs a cluster of real processes whose workers restart under the same ids. Each task of a job must be done
// once, and long-running tasks must be restarted, also when the leader is killed meanwhile.
#include "unit_tests/platform/expect_done.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <functional>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long
constexpr int worker_count = 6;
constexpr int job_count = 6;
constexpr int task_count = 30;
constexpr int long_running_count = 6;
const std::string long_running_job = "0000000000000f00";

std::string make_job_id(int number) {
    return "0000000000000f1" + std::to_string(number);
}

void wait_until(const std::function<bool()>& condition) {
    const auto end = absl::Now() + absl::Seconds(60);
    while (!condition() && absl::Now() < end) {
        absl::SleepFor(absl::Milliseconds(10));
    }
    EXPECT_TRUE(condition());
}

class restart_cluster : public testing::TestWithParam<int> {
protected:
    void submit_all() {
        m_cluster.put_config(1);
        ASSERT_TRUE(m_cluster.submit(long_running_job, long_running_count, wait_timeout,
                                     stand_in_workers::long_running_payload));
        for (int number = 0; number < job_count; ++number) {
            ASSERT_TRUE(m_cluster.submit(make_job_id(number), task_count, wait_timeout));
        }
    }
    void expect_correct_end_state() {
        for (int number = 0; number < job_count; ++number) {
            EXPECT_TRUE(m_cluster.wait_for_state(make_job_id(number), "completed", wait_timeout));
        }
        EXPECT_EQ(m_workers.get_concurrent_start_count(), 0);
        EXPECT_EQ(m_workers.get_starts_after_done(), 0);
        wait_until([this] { return m_workers.get_running_count() == long_running_count; });
    }

    scheduler_cluster m_cluster{3};
    stand_in_workers m_workers{worker_count, m_cluster.get_control_addresses(), milliseconds{200},
                               stand_in_workers::restart_mode::same_id};
};

TEST_P(restart_cluster, completes_each_task_once_and_restarts_long_running_ones) {
    submit_all();
    const milliseconds downtime{GetParam()};
    wait_until([&] { return m_workers.get_running_count() > long_running_count; });
    // No more crashes than these: a task may fail after three crashes of its workers.
    m_workers.crash({0, 1, 2}, downtime);
    expect_correct_end_state();
    m_workers.crash({3, 4, 5}, downtime);
    expect_correct_end_state();
}

TEST_P(restart_cluster, completes_each_task_once_when_the_leader_is_killed_meanwhile) {
    submit_all();
    const milliseconds downtime{GetParam()};
    wait_until([&] { return m_workers.get_running_count() > long_running_count; });
    m_workers.crash({0, 1, 2}, downtime);
    const int leader = m_cluster.find_leader();
    ASSERT_NE(leader, 0);
    m_cluster.get_scheduler(leader).kill();
    m_workers.crash({3, 4}, downtime);
    expect_correct_end_state();
}

INSTANTIATE_TEST_SUITE_P(down_ms, restart_cluster, testing::Values(10, 500, 1500));

} // namespace
} // namespace poplarpitch
