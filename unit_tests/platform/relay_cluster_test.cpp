// Runs a cluster of real processes in which the other control instances relay orders and heartbeats. No task
// may run twice or be lost when a relay is killed, is suspended or becomes the leader.
#include "unit_tests/platform/expect_done.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <csignal>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{20}; // only a failing test waits this long
constexpr int task_count = 24;
constexpr int worker_count = 6;

/// Returns how often a scheduler's log has `text`.
int count_in_log(scheduler_cluster& cluster, int scheduler, const std::string& text) {
    const auto log = cluster.get_scheduler(scheduler).read_log();
    int found = 0;
    for (auto place = log.find(text); place != std::string::npos; place = log.find(text, place + 1)) {
        ++found;
    }
    return found;
}

/// A cluster in which all instances but the leader are relays, and its workers.
class relay_cluster_environment {
public:
    explicit relay_cluster_environment(duration run_time, const std::string& settings = {})
        : cluster(3, settings), workers(worker_count, cluster.get_control_addresses(), run_time) {
        cluster.put_config(1);
        leader = cluster.find_leader();
    }

    /// Waits until the leader's log has `text` at least `min_count` times.
    void wait_for_log_text(const std::string& text, int min_count) {
        while (count_in_log(cluster, leader, text) < min_count) {
            absl::SleepFor(absl::Milliseconds(10));
        }
    }
    [[nodiscard]] int get_relay() const { return leader == 1 ? 2 : 1; }
    void wait_until_all_run() const {
        while (workers.get_running_count() < task_count) {
            absl::SleepFor(absl::Milliseconds(5));
        }
    }
    void expect_each_done_once(const std::string& id) const {
        poplarpitch::expect_each_done_once(workers, id, task_count);
    }

    scheduler_cluster cluster;
    stand_in_workers workers;
    int leader = 0;
};

TEST(relay_cluster, sends_orders_through_both_other_instances) {
    relay_cluster_environment env(milliseconds{100});
    env.wait_for_log_text("event=relay_found", 2);
    const std::string id = "0000000000000a01";
    ASSERT_TRUE(env.cluster.submit(id, task_count, wait_timeout));
    ASSERT_TRUE(env.cluster.wait_for_state(id, "completed", wait_timeout));
    env.expect_each_done_once(id);
}

// Guards against a fleet in which only the voters relay, so that the other control instances idle while each
// of the few relays has the connections of several shares.
TEST(relay_cluster, sends_orders_through_instances_that_do_not_vote) {
    constexpr int schedulers = 5;
    constexpr int voters = 3;
    scheduler_cluster cluster(schedulers, {}, {}, 1, voters);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{100});
    cluster.put_config(1);
    while (count_in_log(cluster, cluster.find_leader(), "event=relay_found") < schedulers - 1) {
        absl::SleepFor(absl::Milliseconds(10));
    }
    const std::string id = "0000000000000a07";
    ASSERT_TRUE(cluster.submit(id, task_count, wait_timeout));
    ASSERT_TRUE(cluster.wait_for_state(id, "completed", wait_timeout));
    poplarpitch::expect_each_done_once(workers, id, task_count);
}

TEST(relay_cluster, calls_workers_directly_when_relaying_is_disabled) {
    relay_cluster_environment env(milliseconds{100}, "relayed = false\n");
    const std::string id = "0000000000000a02";
    ASSERT_TRUE(env.cluster.submit(id, task_count, wait_timeout));
    ASSERT_TRUE(env.cluster.wait_for_state(id, "completed", wait_timeout));
    env.expect_each_done_once(id);
    EXPECT_EQ(env.cluster.get_scheduler(env.leader).read_log().find("relay_found"), std::string::npos);
}

TEST(relay_cluster, loses_nothing_when_a_relay_is_killed_while_tasks_run) {
    relay_cluster_environment env(milliseconds{1500});
    env.wait_for_log_text("event=relay_found", 2);
    const std::string id = "0000000000000a03";
    ASSERT_TRUE(env.cluster.submit(id, task_count, wait_timeout));
    env.wait_until_all_run();
    env.cluster.get_scheduler(env.get_relay()).kill();
    env.wait_for_log_text("event=relay_lost", 1);
    ASSERT_TRUE(env.cluster.wait_for_state(id, "completed", wait_timeout));
    env.expect_each_done_once(id);
    EXPECT_EQ(env.cluster.get_scheduler(env.leader).read_log().find("event=lease_lapsed"), std::string::npos);
}

TEST(relay_cluster, runs_nothing_twice_when_a_relay_stands_still_with_orders_in_its_queue) {
    relay_cluster_environment env(milliseconds{500});
    env.wait_for_log_text("event=relay_found", 2);
    const std::string id = "0000000000000a04";
    env.cluster.get_scheduler(env.get_relay()).send(SIGSTOP);
    // Some of its starts wait in the suspended relay's queue.
    ASSERT_TRUE(env.cluster.submit(id, task_count, wait_timeout));
    ASSERT_TRUE(env.cluster.wait_for_state(id, "completed", wait_timeout));
    // There is no event to wait for. The queued starts were sent with a lease of 2 s, which must have run
    // out.
    absl::SleepFor(absl::Seconds(2));
    env.cluster.get_scheduler(env.get_relay()).send(SIGCONT);
    env.wait_for_log_text("event=relay_found", 3); // by then the relay has processed its queue
    const std::string next = "0000000000000a05";
    ASSERT_TRUE(env.cluster.submit(next, task_count, wait_timeout));
    ASSERT_TRUE(env.cluster.wait_for_state(next, "completed", wait_timeout));
    env.expect_each_done_once(id);
    env.expect_each_done_once(next);
}

TEST(relay_cluster, goes_on_when_the_leader_is_killed_and_a_relay_takes_its_place) {
    relay_cluster_environment env(milliseconds{1500});
    env.wait_for_log_text("event=relay_found", 2);
    const std::string id = "0000000000000a06";
    ASSERT_TRUE(env.cluster.submit(id, task_count, wait_timeout));
    env.wait_until_all_run();
    env.cluster.get_scheduler(env.leader).kill();
    ASSERT_TRUE(env.cluster.wait_for_state(id, "completed", wait_timeout));
    env.expect_each_done_once(id);
}

} // namespace
} // namespace poplarpitch
