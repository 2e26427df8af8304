// Runs a cluster of real processes in which a job is cancelled while its submission is still on its way.
#include "unit_tests/platform/raw_request.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <string>
#include <thread>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long
constexpr int worker_count = 4;
const std::string job = "0000000000000c01";
const std::string body = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":200}]})";

int send(scheduler_cluster& cluster, const std::string& method, int gateway, const std::string& id = job) {
    const auto response =
        cluster.send_caller_request(method, "/jobs/" + id, method == "POST" ? body : "", gateway);
    return response.has_value() ? response->status : 0;
}

/// Repeats a request, at each gateway in turn, until it has a clear answer.
int send_until_answered(scheduler_cluster& cluster, const std::string& method, int gateways,
                        const std::string& id = job) {
    const auto end = absl::Now() + absl::Seconds(to_seconds(wait_timeout));
    for (int number = 1; absl::Now() < end; number = number % gateways + 1) {
        const auto status = send(cluster, method, number, id);
        if (status != 0 && status != 502 && status != 503 && status != 504) {
            return status;
        }
        absl::SleepFor(absl::Milliseconds(50));
    }
    return 0;
}

/// Completes another job, so that all that was on its way before has arrived.
void run_another_job(scheduler_cluster& cluster) {
    ASSERT_TRUE(cluster.submit("0000000000000cff", 1, wait_timeout));
    ASSERT_TRUE(cluster.wait_for_state("0000000000000cff", "completed", wait_timeout));
}

int count_starts(const stand_in_workers& workers, const std::string& id) {
    int starts = 0;
    for (const auto& [task, count] : workers.get_start_counts()) {
        starts += task.starts_with(id) ? count : 0;
    }
    return starts;
}

// The leader forgot the job that it did not know, and accepted it when the entry instance went on.
TEST(cancelled_job_cluster, does_not_run_when_a_frozen_entry_instance_relays_it_after_its_cancelling) {
    scheduler_cluster cluster(3, {}, {}, 2);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{50});
    cluster.put_config(1);
    run_another_job(cluster);
    cluster.get_gateway(1).send(SIGSTOP);
    int submitted = 0;
    std::thread caller([&] { submitted = send(cluster, "POST", 1); }); // waits for its answer
    absl::SleepFor(absl::Milliseconds(300));
    EXPECT_EQ(send(cluster, "DELETE", 2), 410);
    cluster.get_gateway(1).send(SIGCONT);
    caller.join();
    EXPECT_EQ(submitted, 410);
    EXPECT_EQ(send(cluster, "GET", 2), 410);
    run_another_job(cluster);
    EXPECT_EQ(count_starts(workers, job), 0);
}

// A request whose client had left was relayed with a new time limit.
TEST(cancelled_job_cluster, does_not_run_when_its_client_left_a_frozen_entry_instance) {
    scheduler_cluster cluster(1, {}, {}, 2);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{50});
    cluster.put_config(1);
    run_another_job(cluster);
    cluster.get_gateway(1).send(SIGSTOP);
    send_and_leave(cluster.get_caller_address(1), make_raw_post("/jobs/" + job, body));
    absl::SleepFor(absl::Milliseconds(1000));
    cluster.get_gateway(1).send(SIGCONT);
    ASSERT_TRUE(scheduler_cluster::wait_for_log(cluster.get_gateway(1), "event=requests_abandoned requests=1",
                                                wait_timeout));
    EXPECT_EQ(send(cluster, "GET", 2), 410);
    EXPECT_EQ(send(cluster, "POST", 1), 200); // a client that waits is served
}

// A caller whose time limit had passed was answered as if the request had just arrived.
TEST(cancelled_job_cluster, does_not_run_when_it_was_read_after_its_time_limit) {
    scheduler_cluster cluster(1, {}, {}, 2);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{50});
    cluster.put_config(1);
    run_another_job(cluster);
    cluster.get_gateway(1).send(SIGSTOP);
    auto request = make_raw_post("/jobs/" + job, body);
    request.insert(request.find("Content-Type"), "Poplarpitch-Deadline-Ms: 700\r\n");
    int status = 0;
    std::thread caller([&] { status = send_raw_request(cluster.get_caller_address(1), request); });
    absl::SleepFor(absl::Milliseconds(1600));
    cluster.get_gateway(1).send(SIGCONT);
    caller.join();
    EXPECT_EQ(status, 503);
    EXPECT_EQ(send(cluster, "GET", 2), 410);
}

// The next leader knew nothing of the cancelling.
TEST(cancelled_job_cluster, does_not_run_when_the_leader_is_killed_after_its_cancelling) {
    scheduler_cluster cluster(3, {}, {}, 2);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{50});
    cluster.put_config(1);
    const int leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    EXPECT_EQ(send_until_answered(cluster, "DELETE", 2), 410);
    cluster.get_scheduler(leader).kill();
    EXPECT_EQ(send_until_answered(cluster, "POST", 2), 410);
    cluster.start_scheduler(leader);
    EXPECT_EQ(send_until_answered(cluster, "POST", 2), 410);
    EXPECT_EQ(count_starts(workers, job), 0);
}

// Gateways find the next leader at different moments, so a submission overtaken by its cancelling arrived
// later.
TEST(cancelled_job_cluster, does_not_run_when_it_is_submitted_and_cancelled_during_an_election) {
    constexpr int rounds = 4;
    constexpr int gateways = 4;
    scheduler_cluster cluster(3, {}, {}, gateways);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{50});
    cluster.put_config(1);
    run_another_job(cluster);
    std::map<std::string, int> cancelled;
    for (int round = 0; round < rounds; ++round) {
        const auto id = absl::StrCat("0000000000000d0", round);
        const int leader = cluster.find_leader();
        ASSERT_NE(leader, 0);
        cluster.get_scheduler(leader).kill();
        std::thread caller([&] { send(cluster, "POST", round % gateways + 1, id); });
        absl::SleepFor(absl::Milliseconds(300));
        cancelled[id] = send_until_answered(cluster, "DELETE", gateways, id);
        caller.join();
        cluster.start_scheduler(leader);
        ASSERT_TRUE(cluster.submit(absl::StrCat("0000000000000e0", round), 1, wait_timeout));
    }
    run_another_job(cluster);
    for (const auto& [id, status] : cancelled) {
        if (status == 410) {
            EXPECT_EQ(count_starts(workers, id), 0) << id;
        }
        EXPECT_NE(status, 0) << id;
    }
}

// It was accepted, although nothing was stored.
TEST(cancelled_job_cluster, refuses_an_id_that_another_queue_uses_and_leaves_its_job_alone) {
    scheduler_cluster cluster(1);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{50});
    cluster.put_config(1, 3, {"/jobs/", "/other/"});
    ASSERT_TRUE(cluster.submit_long_running(job, 1, wait_timeout, stand_in_workers::long_running_payload));
    EXPECT_EQ(cluster.send_caller_request("POST", "/other/" + job, body)->status, 409);
    EXPECT_EQ(cluster.send_caller_request("GET", "/other/" + job)->status, 410);
    EXPECT_EQ(cluster.send_caller_request("DELETE", "/other/" + job)->status, 410);
    EXPECT_TRUE(cluster.wait_for_state(job, "running", wait_timeout));
    EXPECT_EQ(send(cluster, "DELETE", 1), 200);
}

} // namespace
} // namespace poplarpitch
