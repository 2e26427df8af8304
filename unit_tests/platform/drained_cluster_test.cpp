// Operators drain a data centre of the real processes: what was acknowledged holds, whatever happens to the
// instances.
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{20}; // only a failing test waits this long
constexpr int task_count = 12;
constexpr int worker_count = 4;
constexpr const char* east = "east";
constexpr const char* west = "west";
constexpr const char* start_path = "/v1/Evacuation.Start/";
constexpr const char* end_path = "/v1/Evacuation.End/";

worker_behaviour make_behaviour() {
    worker_behaviour behaviour;
    behaviour.zones = {east, west}; // the first and the third worker are in the east
    return behaviour;
}

/// Sends an order for a data centre until it is acknowledged, to each instance in turn.
void send_order(scheduler_cluster& cluster, int instances, const std::string& path) {
    const auto end = absl::Now() + absl::Seconds(to_seconds(wait_timeout));
    for (int number = 1; absl::Now() < end; number = number % instances + 1) {
        const auto response = cluster.send_control_request(number, "POST", path);
        if (response.has_value() && response->status == 200) {
            return;
        }
        absl::SleepFor(absl::Milliseconds(50));
    }
    ADD_FAILURE() << path << " was not acknowledged";
}

/// Runs a job and returns the workers on which its tasks started.
std::vector<std::string> run_job(scheduler_cluster& cluster, const stand_in_workers& workers,
                                 const std::string& id) {
    EXPECT_TRUE(cluster.submit(id, task_count, wait_timeout));
    EXPECT_TRUE(cluster.wait_for_state(id, "completed", wait_timeout));
    std::vector<std::string> used;
    for (const auto& interval : workers.get_record().get_intervals()) {
        if (interval.task.starts_with(id)) {
            used.push_back(interval.worker);
        }
    }
    EXPECT_GE(used.size(), static_cast<std::size_t>(task_count));
    return used;
}

/// Waits until all five instances vote. Before, the loss of two disks may cost what was acknowledged.
void wait_for_five_voters(scheduler_cluster& cluster) {
    const auto leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    ASSERT_TRUE(scheduler_cluster::wait_for_log(cluster.get_scheduler(leader), "voters=5", wait_timeout));
}

void expect_only_in_the_west(const std::vector<std::string>& workers) {
    for (const auto& worker : workers) {
        EXPECT_NE(worker.find(west), std::string::npos) << worker;
    }
}

TEST(drained_cluster, keeps_an_acknowledged_drain_when_all_lose_power_and_two_lose_their_disks) {
    constexpr int instances = 5;
    scheduler_cluster cluster(instances);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), make_behaviour());
    cluster.put_config(1);
    run_job(cluster, workers, "00000000000000a1");
    wait_for_five_voters(cluster);
    send_order(cluster, instances, std::string(start_path) + east);
    const auto leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    const std::vector<int> wiped = {leader, leader % instances + 1};
    cluster.crash_all();
    for (const int number : wiped) {
        cluster.delete_data(number);
    }
    for (int number = 1; number <= instances; ++number) {
        cluster.start_scheduler(number);
    }
    cluster.start_gateway();
    expect_only_in_the_west(run_job(cluster, workers, "00000000000000a2"));
    send_order(cluster, instances, std::string(end_path) + east);
    EXPECT_TRUE(cluster.submit("00000000000000a3", task_count, wait_timeout));
    EXPECT_TRUE(cluster.wait_for_state("00000000000000a3", "completed", wait_timeout));
}

TEST(drained_cluster, starts_nothing_in_the_drained_data_centre_under_the_next_leader) {
    constexpr int instances = 3;
    scheduler_cluster cluster(instances);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), make_behaviour());
    cluster.put_config(1);
    run_job(cluster, workers, "00000000000000b1");
    send_order(cluster, instances, std::string(start_path) + east);
    const auto leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    cluster.get_scheduler(leader).kill();
    expect_only_in_the_west(run_job(cluster, workers, "00000000000000b2"));
}

TEST(drained_cluster, refuses_an_unknown_data_centre_and_changes_nothing) {
    scheduler_cluster cluster(1);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), make_behaviour());
    cluster.put_config(1);
    run_job(cluster, workers, "00000000000000c1");
    const auto end = absl::Now() + absl::Seconds(to_seconds(wait_timeout));
    std::optional<http_response> response;
    do { // until the workers have had the time to report, the answer is 503
        response = cluster.send_control_request(1, "POST", std::string(start_path) + "typo");
        absl::SleepFor(absl::Milliseconds(50));
    } while (absl::Now() < end && (!response.has_value() || response->status == 503));
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 404);
    EXPECT_EQ(cluster.send_control_request(1, "POST", start_path)->status, 400);
}

} // namespace
} // namespace poplarpitch
