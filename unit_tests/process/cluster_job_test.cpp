// Jobs through real daemons while processes are killed and workers leave.
#include "poplarpitch/entry/protocol_names.h"
#include "unit_tests/support/cluster_fixture.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <map>
#include <vector>

namespace poplarpitch {
namespace {

TEST_F(cluster_test, killed_worker_and_leader_and_a_frozen_entry_at_once) {
    m_cluster.make_ready(config_text);
    caller_load traffic(m_cluster, {2, 3}, 4);
    std::vector<std::string> jobs;
    for (int index = 0; index < 20; ++index) {
        jobs.push_back("j" + std::to_string(index));
        EXPECT_EQ(submit(jobs.back(), "b", 2), 202);
    }
    const int leader = m_cluster.find_leader(2);
    ASSERT_GT(leader, 0);
    m_cluster.get_entry(1).send(SIGSTOP);
    m_cluster.get_control(leader).kill();
    m_cluster.get_workers(1).kill();
    for (const auto& job : jobs) {
        EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(2, job) == "done"; }));
    }
    m_cluster.get_entry(1).send(SIGCONT);
    EXPECT_TRUE(
        test_cluster::wait_until([&] { return m_cluster.send(1, "GET", "/readyz").response.status == 200; }));
    const auto before = traffic.count();
    EXPECT_TRUE(test_cluster::wait_until([&] { return traffic.count() > before + 100; }));
    check_promises(traffic.stop(), jobs, {"w1-1", "w1-2"});
}

TEST_F(cluster_test, keeps_promises_while_the_leader_and_an_entry_are_killed) {
    m_cluster.make_ready(config_text);
    caller_load traffic(m_cluster, {2, 3}, 6);
    for (int index = 0; index < 10; ++index) {
        EXPECT_EQ(submit("j" + std::to_string(index)), 202);
    }
    EXPECT_TRUE(test_cluster::wait_until([&] { return traffic.count() > 300; }));
    const int leader = m_cluster.find_leader(2);
    ASSERT_GT(leader, 0);
    m_cluster.get_control(leader).kill();
    m_cluster.get_entry(1).kill();
    EXPECT_TRUE(test_cluster::wait_until([&] {
        const auto next = m_cluster.find_leader(2);
        return next != 0 && next != leader;
    }));
    // The remaining entries own all workers.
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.get_status_number(2, "ready_workers") +
                   m_cluster.get_status_number(3, "ready_workers") ==
               4;
    }));
    std::vector<std::string> jobs;
    for (int index = 0; index < 10; ++index) {
        jobs.push_back("j" + std::to_string(index));
        EXPECT_TRUE(
            test_cluster::wait_until([&] { return m_cluster.get_job_state(2, jobs.back()) == "done"; }));
    }
    const auto before = traffic.count();
    EXPECT_TRUE(test_cluster::wait_until([&] { return traffic.count() > before + 300; }));
    const auto calls = traffic.stop();
    EXPECT_GT(count_outcome(calls, outcome_done), 300U);
    check_promises(calls, jobs);
}

TEST_F(cluster_test, killed_worker_frees_its_jobs_only_after_their_leases) {
    m_cluster.make_ready(config_text);
    for (int index = 0; index < 40; ++index) {
        EXPECT_EQ(submit("j" + std::to_string(index)), 202);
    }
    EXPECT_EQ(submit("once", "once"), 202);
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(1, "once") == "running"; }));
    const auto body = nlohmann::json::parse(m_cluster.send(1, "GET", "/v1/jobs/once").response.body);
    const auto worker = body.value("worker", "");
    const int process = worker.substr(0, 2) == "w1" ? 1 : 2;
    m_cluster.get_workers(process).kill();
    const auto killed = absl::StrCat("w", process, "-");
    std::vector<std::string> jobs;
    for (int index = 0; index < 40; ++index) {
        jobs.push_back("j" + std::to_string(index));
        EXPECT_TRUE(
            test_cluster::wait_until([&] { return m_cluster.get_job_state(1, jobs.back()) == "done"; }));
    }
    // The job may have finished before the kill. Otherwise its outcome is unknown, and it is not run again.
    EXPECT_TRUE(test_cluster::wait_until([&] {
        const auto state = m_cluster.get_job_state(1, "once");
        return state == "outcome_unknown" || state == "done";
    }));
    check_promises({}, jobs, {killed + "1", killed + "2"});
}

TEST_F(cluster_test, leaving_worker_gets_no_new_work_and_its_jobs_move) {
    m_cluster.make_ready(config_text);
    caller_load traffic(m_cluster, {1, 2, 3}, 4);
    EXPECT_EQ(submit("j"), 202);
    m_cluster.get_workers(1).send(SIGTERM);
    EXPECT_EQ(m_cluster.get_workers(1).wait(), 0);
    const auto before = traffic.count();
    EXPECT_TRUE(test_cluster::wait_until([&] { return traffic.count() > before + 200; }));
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(1, "j") == "done"; }));
    const auto calls = traffic.stop();
    EXPECT_EQ(count_outcome(calls, outcome_unknown), 0U);
    check_promises(calls, {"j"});
}

TEST_F(cluster_test, batch_of_jobs_is_answered_job_by_job) {
    m_cluster.make_ready(config_text);
    nlohmann::json jobs = nlohmann::json::array();
    nlohmann::json ids = nlohmann::json::array();
    for (int number = 0; number < 100; ++number) {
        const auto id = "m" + std::to_string(number);
        jobs.push_back({{"id", id}, {"tenant", "t"}, {"batch", "b"}});
        ids.push_back(id);
    }
    jobs.push_back({{"id", "bad"}, {"tenant", "nobody"}, {"batch", "b"}});
    jobs.push_back({{"id", "large"}, {"tenant", "t"}, {"batch", "b"}, {"millicores", 99'000'000}});
    const auto answer =
        m_cluster.send(1, "POST", "/v1/jobs/submit", nlohmann::json{{"jobs", jobs}}.dump()).response;
    EXPECT_EQ(answer.status, 200);
    std::map<std::string, int> statuses;
    const auto body = nlohmann::json::parse(answer.body);
    for (const auto& item : body["jobs"]) {
        statuses[item.value("id", "")] = item.value("status", 0);
    }
    EXPECT_EQ(statuses.size(), 102U);
    EXPECT_EQ(statuses["m0"], 202);
    EXPECT_EQ(statuses["m99"], 202);
    EXPECT_EQ(statuses["bad"], 400);
    EXPECT_EQ(statuses["large"], 422);
    const auto cancelled =
        m_cluster.send(2, "POST", "/v1/jobs/cancel", nlohmann::json{{"ids", ids}}.dump()).response;
    EXPECT_EQ(cancelled.status, 200);
    // Some jobs had finished before the cancellation. Every job ends.
    for (int number = 0; number < 100; ++number) {
        EXPECT_TRUE(test_cluster::wait_until([&] {
            const auto state = m_cluster.get_job_state(3, "m" + std::to_string(number));
            return state == "cancelled" || state == "done";
        }));
    }
    const auto status = [&](const std::string& target, const std::string& body) {
        return m_cluster.send(1, "POST", target, body).response.status;
    };
    EXPECT_EQ(status("/v1/jobs/submit", "{\"jobs\":[]}"), 400);
    EXPECT_EQ(status("/v1/jobs/submit", "[1]"), 400);
    EXPECT_EQ(status("/v1/jobs/cancel", "{\"ids\":\"all\"}"), 400);
}

} // namespace
} // namespace poplarpitch
