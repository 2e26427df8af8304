// Requests through real daemons while processes are killed, frozen, stopped and drained.
#include "poplarpitch/entry/protocol_names.h"
#include "unit_tests/support/cluster_fixture.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

TEST_F(cluster_test, answers_a_request_runs_a_job_and_reports_metrics) {
    m_cluster.make_ready(config_text);
    const auto exchange = m_cluster.send(1, "POST", "/v1/call/fast", "hello", {{header_tenant, "t"}});
    EXPECT_EQ(exchange.response.status, 200);
    EXPECT_EQ(exchange.response.body, "hello");
    EXPECT_EQ(exchange.response.headers.get(header_outcome), outcome_done);
    EXPECT_EQ(submit("j"), 202);
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(2, "j") == "done"; }));
    const auto metrics = m_cluster.send(1, "GET", "/metrics").response.body;
    EXPECT_NE(metrics.find("poplarpitch_requests_total{tenant=\"t\",service=\"fast\",outcome=\"done\"} 1"),
              std::string::npos)
        << metrics;
    EXPECT_EQ(m_cluster.send(1, "GET", "/readyz").response.status, 200);
    check_promises({}, {"j"});
}

TEST_F(cluster_test, refuses_bad_input_with_clear_codes) {
    m_cluster.make_ready(config_text);
    const auto status = [&](const std::string& method, const std::string& target,
                            const std::string& body = "", const std::vector<http_header>& headers = {}) {
        return m_cluster.send(1, method, target, body, headers).response.status;
    };
    EXPECT_EQ(status("POST", "/v1/call/nobody"), 404);
    EXPECT_EQ(status("GET", "/v1/call/fast"), 405);
    EXPECT_EQ(status("POST", "/v1/call/fast", "", {{header_deadline, "-1"}}), 400);
    EXPECT_EQ(status("POST", "/v1/call/fast", std::string(9 << 20, 'x')), 413);
    EXPECT_EQ(status("POST", "/v1/call/fast", "", {{"X-Large", std::string(20'000, 'x')}}), 400);
    EXPECT_EQ(status("POST", "/v1/jobs", "{"), 400);
    EXPECT_EQ(status("POST", "/v1/jobs", R"({"id":"j","tenant":"t","batch":"b","millicores":999999999})"),
              422);
    EXPECT_EQ(status("PUT", "/v1/config", "[nonsense]"), 428);
    EXPECT_EQ(status("PUT", "/v1/config", "[nonsense]", {{"If-Match", "1"}}), 422);
    EXPECT_EQ(status("PUT", "/v1/config", config_text, {{"If-Match", "99"}}), 409);
    EXPECT_EQ(status("POST", "/v1/targets/announce", "{\"id\":\"x\"}"), 400);
    EXPECT_EQ(status("GET", "/v1/jobs/none"), 404);
    EXPECT_EQ(status("GET", "/nothing"), 404);
    EXPECT_EQ(status("POST", "/v1/members/9/promote"), 409);
}

TEST_F(cluster_test, key_runs_once_through_any_entry) {
    m_cluster.make_ready(config_text);
    const auto call = [&](int entry, const std::string& body) {
        return m_cluster.send(entry, "POST", "/v1/call/pay", body,
                              {{header_tenant, "t"}, {header_key, "k1"}, {"X-Check-Id", "keyed"}});
    };
    EXPECT_EQ(call(1, "charge").response.body, "charge");
    const auto again = call(2, "charge");
    EXPECT_EQ(again.response.status, 200);
    EXPECT_EQ(again.response.body, "charge");
    EXPECT_EQ(call(3, "another").response.status, 422);
    check_promises({{"keyed", "pay", false, "done", true}});
}

TEST_F(cluster_test, keyed_request_runs_once_at_most_when_its_entry_is_killed) {
    m_cluster.make_ready(config_text);
    const auto call = [&](int entry) {
        return m_cluster.send(
            entry, "POST", "/v1/call/slow", "charge",
            {{header_tenant, "t"}, {header_key, "k"}, {header_idempotent, "false"}, {"X-Check-Id", "keyed"}});
    };
    std::thread first([&] { call(1); }); // runs for 400 ms; its entry is killed before the end
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_status_number(2, "keys") == 1; }));
    m_cluster.get_entry(1).kill();
    first.join();
    // The key is in use until control knows that the entry is lost; after that the outcome is unknown. An
    // entry that is short of processor time may refuse a copy in between, which reveals nothing about the
    // first copy.
    observed_call expected{"keyed", "slow", false, outcome_unknown, true};
    const auto repeat_call = [&](int entry) {
        const auto outcome = call(entry).response.headers.get(header_outcome);
        EXPECT_NE(outcome, outcome_done);
        return outcome == outcome_unknown;
    };
    for (int attempt = 0; attempt < 5; ++attempt) {
        EXPECT_TRUE(test_cluster::wait_until([&] { return repeat_call(2 + attempt % 2); }));
    }
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.get_status_number(2, "ready_workers") +
                   m_cluster.get_status_number(3, "ready_workers") ==
               4;
    }));
    EXPECT_TRUE(test_cluster::wait_until([&] { return repeat_call(2); }));
    check_promises({expected});
}

TEST_F(cluster_test, keyed_requests_run_once_at_most_while_the_leader_is_killed) {
    m_cluster.make_ready(config_text);
    constexpr int callers = 4;
    std::atomic<bool> is_stopped{false};
    std::atomic<std::size_t> done{0};
    absl::Mutex mutex;
    std::vector<observed_call> calls;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int number = 0; !is_stopped; ++number) {
                const auto id = absl::StrCat("key", caller, "-", number);
                observed_call call{id, "pay", false, "", true};
                // Retries with the same key through another entry while the outcome is unknown, as callers
                // should.
                for (int attempt = 0; attempt < 40 && call.outcome != outcome_done; ++attempt) {
                    const auto exchange =
                        m_cluster.send(1 + (number + attempt) % 3, "POST", "/v1/call/pay", id,
                                       {{header_tenant, "t"}, {header_key, id}, {"X-Check-Id", id}});
                    call.outcome = exchange.response.headers.get(header_outcome);
                    call.is_body_intact = call.outcome != outcome_done || exchange.response.body == id;
                }
                done += call.outcome == outcome_done ? 1 : 0;
                const absl::MutexLock lock(&mutex);
                calls.push_back(std::move(call));
            }
        });
    }
    for (int kill = 0; kill < 2; ++kill) {
        const auto before = done.load();
        EXPECT_TRUE(test_cluster::wait_until([&] { return done > before + 50; }));
        const int leader = m_cluster.find_leader(1);
        ASSERT_GT(leader, 0);
        m_cluster.get_control(leader).kill();
        const auto after = done.load();
        EXPECT_TRUE(test_cluster::wait_until([&] { return done > after + 50; }));
        m_cluster.start_control(leader);
    }
    is_stopped = true;
    for (auto& thread : threads) {
        thread.join();
    }
    check_promises(calls);
}

TEST_F(cluster_test, frozen_entry_does_no_harm_when_it_wakes) {
    m_cluster.make_ready(config_text);
    caller_load traffic(m_cluster, {2, 3}, 4);
    EXPECT_EQ(submit("j"), 202);
    m_cluster.get_entry(1).send(SIGSTOP);
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.get_status_number(2, "ready_workers") +
                   m_cluster.get_status_number(3, "ready_workers") ==
               4;
    }));
    m_cluster.get_entry(1).send(SIGCONT);
    // It opens a new session and owns a share of the workers again.
    EXPECT_TRUE(
        test_cluster::wait_until([&] { return m_cluster.get_status_number(1, "ready_workers") >= 1; }));
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(2, "j") == "done"; }));
    check_promises(traffic.stop(), {"j"});
}

TEST_F(cluster_test, planned_stop_cuts_off_no_request) {
    m_cluster.make_ready(config_text);
    caller_load traffic(m_cluster, {1}, 6);
    EXPECT_TRUE(test_cluster::wait_until([&] { return traffic.count() > 200; }));
    m_cluster.get_entry(1).send(SIGTERM);
    // Acts as the load balancer, which sends nothing to an entry that is not ready.
    EXPECT_TRUE(
        test_cluster::wait_until([&] { return m_cluster.send(1, "GET", "/readyz").response.status != 200; }));
    const auto calls = traffic.stop();
    EXPECT_EQ(m_cluster.get_entry(1).wait(), 0);
    EXPECT_EQ(count_outcome(calls, "cut"), 0U);
    EXPECT_EQ(count_outcome(calls, outcome_unknown), 0U);
    check_promises(calls);
}

TEST_F(cluster_test, drained_entry_serves_through_others_until_it_is_resumed) {
    m_cluster.make_ready(config_text);
    caller_load traffic(m_cluster, {1, 2, 3}, 4);
    EXPECT_EQ(m_cluster.send(2, "POST", "/v1/members/entry-1/drain").response.status, 200);
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.send(1, "GET", "/readyz").response.status == 503 &&
               m_cluster.get_status_number(1, "owned_workers") == 0;
    }));
    const auto before = traffic.count();
    EXPECT_TRUE(test_cluster::wait_until([&] { return traffic.count() > before + 200; }));
    EXPECT_EQ(m_cluster.send(2, "POST", "/v1/members/entry-1/resume").response.status, 200);
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.send(1, "GET", "/readyz").response.status == 200 &&
               m_cluster.get_status_number(1, "ready_workers") >= 1;
    }));
    EXPECT_EQ(m_cluster.send(2, "POST", "/v1/members/nobody/drain").response.status, 404);
    EXPECT_EQ(m_cluster.send(2, "POST", "/v1/members/entry-1/promote").response.status, 404);
    const auto calls = traffic.stop();
    EXPECT_EQ(count_outcome(calls, outcome_unknown), 0U);
    EXPECT_EQ(count_outcome(calls, "cut"), 0U);
    check_promises(calls);
}

} // namespace
} // namespace poplarpitch
