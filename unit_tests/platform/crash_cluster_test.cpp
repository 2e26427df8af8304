// Runs a cluster of real processes with a task that crashes its workers. The job of that task must fail and
// the other job must complete, even when the leader that saw the first crash is killed.
#include "unit_tests/platform/expect_done.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long
constexpr int worker_count = 6;
constexpr int task_count = 24;
constexpr int max_starts = 5; // of a task: three that end in a crash, and at most two more after these
const std::string crashing_job = "0000000000000e01";
const std::string healthy_job = "0000000000000e02";

int count_starts(const stand_in_workers& workers) {
    int starts = 0;
    for (const auto& [task, count] : workers.get_start_counts()) {
        starts += task.starts_with(crashing_job) ? count : 0;
    }
    return starts;
}

void submit_both(scheduler_cluster& cluster) {
    ASSERT_TRUE(cluster.submit(healthy_job, task_count, wait_timeout));
    ASSERT_TRUE(cluster.submit(crashing_job, 1, wait_timeout, stand_in_workers::crashing_payload));
}

void expect_crashing_job_failed_and_healthy_job_done(scheduler_cluster& cluster,
                                                     const stand_in_workers& workers) {
    EXPECT_TRUE(cluster.wait_for_state(crashing_job, "failed", wait_timeout));
    EXPECT_LE(count_starts(workers), max_starts);
    EXPECT_TRUE(cluster.wait_for_state(healthy_job, "completed", wait_timeout));
    expect_each_done_once(workers, healthy_job, task_count);
}

TEST(crash_cluster, fails_a_job_that_crashes_its_workers_and_completes_the_others) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{700});
    cluster.put_config(1);
    submit_both(cluster);
    expect_crashing_job_failed_and_healthy_job_done(cluster, workers);
}

TEST(crash_cluster, keeps_crash_counts_when_the_leader_that_saw_the_first_crash_is_killed) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{700});
    cluster.put_config(1);
    submit_both(cluster);
    const int leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    ASSERT_TRUE(scheduler_cluster::wait_for_log(cluster.get_scheduler(leader),
                                                "event=task_crashed job=" + crashing_job, wait_timeout));
    cluster.get_scheduler(leader).kill();
    expect_crashing_job_failed_and_healthy_job_done(cluster, workers);
}

} // namespace
} // namespace poplarpitch
