// Runs a cluster of real processes with a gang whose members fail together in its first run.
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long
constexpr int worker_count = 6;
constexpr int member_count = 4;
constexpr int max_attempts = 2; // less than the members that fail in the first run
const std::string job = "0000000000000f01";

// The job was shown as failed after one run of its gang, in which several members had failed.
TEST(gang_cluster, completes_a_job_whose_gang_failed_once_in_several_members) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{200});
    cluster.put_config(1, max_attempts);
    ASSERT_TRUE(cluster.submit_gang(job, member_count, wait_timeout, stand_in_workers::failing_once_payload));
    EXPECT_TRUE(cluster.wait_for_state(job, "completed", wait_timeout));
    EXPECT_EQ(workers.get_concurrent_start_count(), 0);
}

// The next leader must not count the run again for the members whose ends it hears.
TEST(gang_cluster, completes_the_job_when_the_leader_that_counted_the_failure_is_killed) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{200});
    cluster.put_config(1, max_attempts);
    const int leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    ASSERT_TRUE(cluster.submit_gang(job, member_count, wait_timeout, stand_in_workers::failing_once_payload));
    ASSERT_TRUE(scheduler_cluster::wait_for_log(cluster.get_scheduler(leader),
                                                "event=attempt_failed job=" + job, wait_timeout));
    cluster.get_scheduler(leader).kill();
    EXPECT_TRUE(cluster.wait_for_state(job, "completed", wait_timeout));
    EXPECT_EQ(workers.get_concurrent_start_count(), 0);
}

} // namespace
} // namespace poplarpitch
