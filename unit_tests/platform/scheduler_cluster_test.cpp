// The whole system with real processes and simulated workers: jobs end exactly once, whatever happens to the
// instances.
#include "unit_tests/platform/expect_done.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <csignal>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{20}; // only a failing test waits this long
constexpr int task_count = 6;

void expect_config_version_7(scheduler_cluster& cluster) {
    const auto leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    const auto read = cluster.send_control_request(leader, "GET", "/v1/Config.Get");
    ASSERT_TRUE(read.has_value());
    EXPECT_NE(read->body.find("\"version\":7"), std::string::npos);
}

TEST(scheduler_cluster, runs_a_job_from_submission_to_its_end) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(2, cluster.get_control_addresses(), milliseconds{100});
    cluster.put_config(1);
    const std::string id = "00000000000000a1";
    ASSERT_TRUE(cluster.submit(id, task_count, wait_timeout));
    ASSERT_TRUE(cluster.wait_for_state(id, "completed", wait_timeout));
    expect_each_done_once(workers, id, task_count);
    EXPECT_EQ(cluster.send_caller_request("GET", "/jobs/00000000000000ff")->status, 410);
    EXPECT_EQ(cluster.send_caller_request("GET", "/none/00000000000000a1")->status, 404);
    EXPECT_EQ(cluster.send_caller_request("POST", "/jobs/00000000000000a2", "{\"steps\":")->status, 400);
}

TEST(scheduler_cluster, completes_a_job_when_the_leader_is_killed_while_it_runs) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(2, cluster.get_control_addresses(), milliseconds{1500});
    cluster.put_config(1);
    const std::string id = "00000000000000b1";
    ASSERT_TRUE(cluster.submit(id, task_count, wait_timeout));
    while (workers.get_running_count() < task_count) {
        absl::SleepFor(absl::Milliseconds(10));
    }
    const int leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    cluster.get_scheduler(leader).kill();
    ASSERT_TRUE(cluster.wait_for_state(id, "completed", wait_timeout));
    expect_each_done_once(workers, id, task_count);
}

TEST(scheduler_cluster, recovers_jobs_and_configuration_after_all_instances_were_killed) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(2, cluster.get_control_addresses(), milliseconds{300});
    cluster.put_config(7);
    const std::string id = "00000000000000c1";
    ASSERT_TRUE(cluster.submit(id, task_count, wait_timeout));
    for (int number = 1; number <= 3; ++number) {
        cluster.get_scheduler(number).kill();
    }
    for (int number = 1; number <= 3; ++number) {
        cluster.start_scheduler(number);
    }
    ASSERT_TRUE(cluster.wait_for_state(id, "completed", wait_timeout));
    expect_each_done_once(workers, id, task_count);
    expect_config_version_7(cluster);
}

TEST(scheduler_cluster, readmits_an_instance_that_lost_its_disk) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(2, cluster.get_control_addresses(), milliseconds{100});
    cluster.put_config(1);
    const int leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    const int lost = leader == 1 ? 2 : 1;
    const int other = 6 - leader - lost;
    cluster.get_scheduler(lost).kill();
    cluster.delete_data(lost);
    cluster.start_scheduler(lost);
    // The instance votes again once it is promoted. Then the two must suffice without the third.
    const auto has_joined = [&] {
        return cluster.get_scheduler(leader).read_log().find("action=promote") != std::string::npos;
    };
    while (!has_joined()) {
        absl::SleepFor(absl::Milliseconds(20));
    }
    const std::string first = "00000000000000d1";
    ASSERT_TRUE(cluster.submit(first, task_count, wait_timeout)); // committed after the promotion
    cluster.get_scheduler(other).kill();
    const std::string id = "00000000000000d2";
    ASSERT_TRUE(cluster.submit(id, task_count, wait_timeout));
    ASSERT_TRUE(cluster.wait_for_state(id, "completed", wait_timeout));
    expect_each_done_once(workers, id, task_count);
}

TEST(scheduler_cluster, ends_by_itself_when_it_is_told_to_stop) {
    scheduler_cluster cluster(3);
    cluster.put_config(1);
    cluster.get_gateway().send(SIGTERM);
    EXPECT_EQ(cluster.get_gateway().wait(), 0);
    for (int number = 1; number <= 3; ++number) {
        cluster.get_scheduler(number).send(SIGTERM);
        EXPECT_EQ(cluster.get_scheduler(number).wait(), 0);
    }
}

TEST(scheduler_cluster, knows_what_it_acknowledged_when_two_of_five_disks_are_lost_right_after) {
    constexpr int instances = 5;
    scheduler_cluster cluster(instances);
    const stand_in_workers workers(2, cluster.get_control_addresses(), milliseconds{300});
    cluster.put_config(7);
    const auto leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    while (cluster.get_scheduler(leader).read_log().find("voters=5") == std::string::npos) {
        ASSERT_EQ(cluster.find_leader(), leader);
        absl::SleepFor(absl::Milliseconds(10));
    }
    const std::string id = "00000000000000f1";
    ASSERT_TRUE(cluster.submit(id, task_count, wait_timeout));
    const std::vector<int> lost = {leader, leader % instances + 1};
    for (const int number : lost) {
        cluster.get_scheduler(number).kill();
        cluster.delete_data(number);
    }
    for (const int number : lost) {
        cluster.start_scheduler(number);
    }
    ASSERT_TRUE(cluster.wait_for_state(id, "completed", wait_timeout));
    expect_each_done_once(workers, id, task_count);
    expect_config_version_7(cluster);
}

TEST(scheduler_cluster, says_that_it_has_not_accepted_a_job_while_nobody_leads) {
    scheduler_cluster cluster(3);
    cluster.put_config(1);
    cluster.get_scheduler(1).kill();
    cluster.get_scheduler(2).kill();
    cluster.get_scheduler(3).kill();
    const auto response =
        cluster.send_caller_request("POST", "/jobs/00000000000000e1", R"({"steps":[{"count":1}]})");
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 503);
    EXPECT_TRUE(response->headers.has("Retry-After"));
}

TEST(scheduler_cluster, rejects_jobs_above_the_open_job_limit_with_retry_after) {
    scheduler_cluster cluster(1, "max_open_jobs = 2\n");
    cluster.put_config(1);
    // There are no workers, so the jobs stay open.
    ASSERT_TRUE(cluster.submit("00000000000000f1", 1, wait_timeout));
    ASSERT_TRUE(cluster.submit("00000000000000f2", 1, wait_timeout));
    const auto third =
        cluster.send_caller_request("POST", "/jobs/00000000000000f3", R"({"steps":[{"count":1}]})");
    ASSERT_TRUE(third.has_value());
    EXPECT_EQ(third->status, 429);
    EXPECT_TRUE(third->headers.has("Retry-After"));
    const auto again =
        cluster.send_caller_request("POST", "/jobs/00000000000000f2", R"({"steps":[{"count":1}]})");
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->status, 200); // the same job submitted again
}

} // namespace
} // namespace poplarpitch
