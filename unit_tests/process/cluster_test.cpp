#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/protocol_names.h"
#include "poplarpitch/stand_in/record_checker.h"
#include "unit_tests/support/test_cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

namespace poplarpitch {
namespace {

constexpr const char* config_text =
    "[system]\ntask_lease = 4s\n[tenant t]\n[service fast]\nidempotent = true\n"
    "[service pay]\nidempotent = false\n[service slow]\ndeadline = 5s\n"
    "[batch b]\ncores = 4\nmemory = 1GB\nrun_time = 500ms\nidempotent = true\n"
    "[batch once]\ncores = 4\nmemory = 1GB\nrun_time = 3s\nidempotent = false\n";

/// Callers that go on sending until told to stop, and remember how each request ended.
class load {
public:
    load(test_cluster& cluster, std::vector<int> entries, int callers)
        : m_cluster(cluster), m_entries(std::move(entries)) {
        for (int caller = 0; caller < callers; ++caller) {
            m_threads.emplace_back([this, caller] { run(caller); });
        }
    }

    std::vector<observed_call> stop() {
        m_is_stopped = true;
        for (auto& thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        const absl::MutexLock lock(&m_mutex);
        return m_calls;
    }

    std::size_t count() {
        const absl::MutexLock lock(&m_mutex);
        return m_calls.size();
    }

private:
    void run(int caller) {
        for (int number = 0; !m_is_stopped; ++number) {
            observed_call call;
            call.check_id = absl::StrCat("c", caller, "-", number);
            call.is_idempotent = number % 2 == 0;
            call.service = call.is_idempotent ? "fast" : "pay";
            const auto entry = m_entries[static_cast<std::size_t>(number) % m_entries.size()];
            const auto body = "body of " + call.check_id;
            const auto exchange = m_cluster.send(entry, "POST", "/v1/call/" + call.service, body,
                                                 {{header_tenant, "t"}, {"X-Check-Id", call.check_id}});
            if (exchange.progress == exchange_progress::answered) {
                call.outcome = exchange.response.headers.get(header_outcome);
                call.is_whole = call.outcome != outcome_done || exchange.response.body == body;
            } else {
                call.outcome = exchange.progress == exchange_progress::not_sent ? "not-sent" : "cut";
            }
            const absl::MutexLock lock(&m_mutex);
            m_calls.push_back(std::move(call));
        }
    }

    test_cluster& m_cluster;
    std::vector<int> m_entries;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_is_stopped{false};
    absl::Mutex m_mutex;
    std::vector<observed_call> m_calls ABSL_GUARDED_BY(m_mutex);
};

class cluster_test : public testing::Test {
protected:
    void check_promises(const std::vector<observed_call>& calls,
                        const std::vector<std::string>& done_jobs = {},
                        const std::set<std::string>& killed_workers = {}) {
        record_checker checker;
        checker.read_file(m_cluster.get_record(1));
        checker.read_file(m_cluster.get_record(2));
        for (const auto& report :
             {checker.check_calls(calls), checker.check_tasks(done_jobs, killed_workers)}) {
            for (const auto& broken : report.broken) {
                ADD_FAILURE() << broken;
            }
        }
    }

    int submit(const std::string& id, const std::string& batch = "b", int entry = 1) {
        const nlohmann::json job = {{"id", id}, {"tenant", "t"}, {"batch", batch}};
        return m_cluster.send(entry, "POST", "/v1/jobs", job.dump()).response.status;
    }

    static std::size_t count_outcome(const std::vector<observed_call>& calls, const std::string& outcome) {
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(), [&](const observed_call& call) { return call.outcome == outcome; }));
    }

    test_cluster m_cluster{3, 3, 2};
};

TEST_F(cluster_test, answers_a_request_runs_a_job_and_shows_itself) {
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
    std::thread first([&] { call(1); }); // runs 400 ms, which its entry does not survive
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_status_number(2, "keys") == 1; }));
    m_cluster.get_entry(1).kill();
    first.join();
    // Until control knows that the entry is gone the key is in use; then nobody can say what became of it.
    observed_call seen{"keyed", "slow", false, "", true};
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto again = call(2 + attempt % 2);
        EXPECT_EQ(again.response.status, 504);
        seen.outcome = again.response.headers.get(header_outcome);
        EXPECT_EQ(seen.outcome, outcome_unknown);
    }
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.get_status_number(2, "ready_workers") +
                   m_cluster.get_status_number(3, "ready_workers") ==
               4;
    }));
    EXPECT_EQ(call(2).response.headers.get(header_outcome), outcome_unknown);
    check_promises({seen});
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
                // As a caller should: asked again with the same key, through another entry, while unknown.
                for (int attempt = 0; attempt < 40 && call.outcome != outcome_done; ++attempt) {
                    const auto exchange =
                        m_cluster.send(1 + (number + attempt) % 3, "POST", "/v1/call/pay", id,
                                       {{header_tenant, "t"}, {header_key, id}, {"X-Check-Id", id}});
                    call.outcome = exchange.response.headers.get(header_outcome);
                    call.is_whole = call.outcome != outcome_done || exchange.response.body == id;
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

TEST_F(cluster_test, killed_worker_and_leader_and_a_frozen_entry_at_once) {
    m_cluster.make_ready(config_text);
    load traffic(m_cluster, {2, 3}, 4);
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
    load traffic(m_cluster, {2, 3}, 6);
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
    // All workers are owned by the entries that are left.
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

TEST_F(cluster_test, frozen_entry_does_no_harm_when_it_wakes) {
    m_cluster.make_ready(config_text);
    load traffic(m_cluster, {2, 3}, 4);
    EXPECT_EQ(submit("j"), 202);
    m_cluster.get_entry(1).send(SIGSTOP);
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.get_status_number(2, "ready_workers") +
                   m_cluster.get_status_number(3, "ready_workers") ==
               4;
    }));
    m_cluster.get_entry(1).send(SIGCONT);
    // It comes back under a new session and gets a share of the workers again.
    EXPECT_TRUE(
        test_cluster::wait_until([&] { return m_cluster.get_status_number(1, "ready_workers") >= 1; }));
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(2, "j") == "done"; }));
    check_promises(traffic.stop(), {"j"});
}

TEST_F(cluster_test, frozen_leader_is_replaced_and_does_no_harm_when_it_wakes) {
    m_cluster.make_ready(config_text);
    load traffic(m_cluster, {1, 2, 3}, 4);
    const int leader = m_cluster.find_leader(1);
    m_cluster.get_control(leader).send(SIGSTOP);
    EXPECT_TRUE(test_cluster::wait_until([&] {
        const auto next = m_cluster.find_leader(1);
        return next != 0 && next != leader;
    }));
    const auto put = m_cluster.send(1, "PUT", "/v1/config", std::string(config_text) + "[tenant u]\n",
                                    {{"If-Match", "1"}, {header_change_id, "second"}});
    EXPECT_EQ(put.response.status, 200);
    m_cluster.get_control(leader).send(SIGCONT);
    EXPECT_EQ(submit("j"), 202);
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(2, "j") == "done"; }));
    EXPECT_EQ(m_cluster.get_status_number(1, "config_version"), 2U);
    check_promises(traffic.stop(), {"j"});
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
    // It may have run to its end before the kill; else nobody knows, and it is not run again.
    EXPECT_TRUE(test_cluster::wait_until([&] {
        const auto state = m_cluster.get_job_state(1, "once");
        return state == "outcome_unknown" || state == "done";
    }));
    check_promises({}, jobs, {killed + "1", killed + "2"});
}

TEST_F(cluster_test, planned_stop_cuts_off_no_request) {
    m_cluster.make_ready(config_text);
    load traffic(m_cluster, {1}, 6);
    EXPECT_TRUE(test_cluster::wait_until([&] { return traffic.count() > 200; }));
    m_cluster.get_entry(1).send(SIGTERM);
    // The balancer's part: once unready, nobody sends there any more.
    EXPECT_TRUE(
        test_cluster::wait_until([&] { return m_cluster.send(1, "GET", "/readyz").response.status != 200; }));
    const auto calls = traffic.stop();
    EXPECT_EQ(m_cluster.get_entry(1).wait(), 0);
    EXPECT_EQ(count_outcome(calls, "cut"), 0U);
    EXPECT_EQ(count_outcome(calls, outcome_unknown), 0U);
    check_promises(calls);
}

TEST_F(cluster_test, leaving_worker_gets_no_new_work_and_its_jobs_move) {
    m_cluster.make_ready(config_text);
    load traffic(m_cluster, {1, 2, 3}, 4);
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

TEST_F(cluster_test, racing_operators_see_one_history_while_leaders_die) {
    m_cluster.make_ready(config_text);
    std::atomic<bool> is_stopped{false};
    absl::Mutex mutex;
    std::map<std::uint64_t, std::string> accepted; // by version
    std::vector<std::thread> operators;
    operators.reserve(3);
    for (int number = 0; number < 3; ++number) {
        operators.emplace_back([&, number] {
            for (int change = 0; !is_stopped; ++change) {
                const auto id = absl::StrCat("op", number, "-", change);
                const auto base =
                    m_cluster.send(number + 1, "GET", "/v1/config").response.headers.get("ETag");
                // Resent with the same id, through another entry, until there is an answer.
                for (int attempt = 0; attempt < 40 && !base.empty(); ++attempt) {
                    const auto exchange = m_cluster.send((number + attempt) % 3 + 1, "PUT", "/v1/config",
                                                         absl::StrCat(config_text, "[tenant ", id, "]\n"),
                                                         {{"If-Match", base}, {header_change_id, id}});
                    const bool is_final =
                        exchange.progress == exchange_progress::answered &&
                        (exchange.response.status == 200 || exchange.response.status == 409);
                    if (!is_final) {
                        continue;
                    }
                    if (exchange.response.status == 200) {
                        const auto version =
                            nlohmann::json::parse(exchange.response.body).value("version", std::uint64_t{0});
                        const absl::MutexLock lock(&mutex);
                        EXPECT_TRUE(accepted.emplace(version, id).second)
                            << "two changes became version " << version;
                    }
                    break;
                }
            }
        });
    }
    const auto count = [&] {
        const absl::MutexLock lock(&mutex);
        return accepted.size();
    };
    for (int kill = 0; kill < 2; ++kill) {
        const auto before = count();
        EXPECT_TRUE(test_cluster::wait_until([&] { return count() > before + 10; }));
        const int leader = m_cluster.find_leader(1);
        if (leader > 0) {
            m_cluster.get_control(leader).kill();
            EXPECT_TRUE(test_cluster::wait_until([&] { return count() > before + 20; }));
            m_cluster.start_control(leader);
        }
    }
    is_stopped = true;
    for (auto& thread : operators) {
        thread.join();
    }
    // The history holds exactly what was accepted, in order and without gaps.
    const auto body = nlohmann::json::parse(m_cluster.send(1, "GET", "/v1/config/history").response.body);
    std::uint64_t last = 0;
    for (const auto& version : body["versions"]) {
        const auto number = version.value("version", std::uint64_t{0});
        EXPECT_TRUE(last == 0 || number == last + 1);
        last = number;
        const auto known = accepted.find(number);
        if (known != accepted.end()) {
            EXPECT_EQ(version.value("change_id", ""), known->second);
        }
    }
    EXPECT_GE(last, accepted.rbegin()->first);
    EXPECT_TRUE(test_cluster::wait_until(
        [&] { return m_cluster.get_status_number(1, "config_version_here") == last; }));
}

TEST_F(cluster_test, voter_with_a_lost_disk_is_refused) {
    m_cluster.make_ready(config_text);
    m_cluster.get_control(3).kill();
    std::filesystem::remove_all(m_cluster.get_folder() + "/data-3");
    m_cluster.start_control(3);
    EXPECT_EQ(m_cluster.get_control(3).wait(), 1);
    EXPECT_NE(m_cluster.get_control(3).read_log().find("event=lost_disk"), std::string::npos);
    EXPECT_EQ(submit("j"), 202); // the others go on
}

TEST_F(cluster_test, whole_control_restarts_with_everything) {
    m_cluster.make_ready(config_text);
    EXPECT_EQ(submit("j"), 202);
    for (int number = 1; number <= 3; ++number) {
        m_cluster.get_control(number).kill();
    }
    // Without control nothing is served on an old configuration.
    EXPECT_TRUE(
        test_cluster::wait_until([&] { return m_cluster.send(1, "GET", "/readyz").response.status == 503; }));
    const auto refused = m_cluster.send(1, "POST", "/v1/call/fast", "x", {{header_tenant, "t"}});
    EXPECT_EQ(refused.response.headers.get(header_outcome), outcome_not_run);
    for (int number = 1; number <= 3; ++number) {
        m_cluster.start_control(number);
    }
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(1, "j") == "done"; }));
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.send(1, "POST", "/v1/call/fast", "x", {{header_tenant, "t"}}).response.status == 200;
    }));
    check_promises({}, {"j"});
}

TEST_F(cluster_test, backup_founds_the_cluster_anew) {
    m_cluster.make_ready(config_text);
    EXPECT_EQ(submit("once", "once"), 202);
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(1, "once") == "running"; }));
    EXPECT_EQ(submit("again"), 202);
    const auto backup = m_cluster.get_folder() + "/backup";
    std::ofstream(backup, std::ios::binary) << m_cluster.send(1, "GET", "/v1/snapshot").response.body;
    for (int number = 1; number <= 3; ++number) {
        m_cluster.get_control(number).kill();
        m_cluster.get_entry(number).kill();
    }
    EXPECT_EQ(m_cluster.restore_control(1, backup), 1); // its old data folder is still there
    for (int number = 1; number <= 3; ++number) {
        std::filesystem::remove_all(m_cluster.get_folder() + "/data-" + std::to_string(number));
        EXPECT_EQ(m_cluster.restore_control(number, backup), 0);
    }
    for (int number = 1; number <= 3; ++number) {
        m_cluster.start_control(number);
        m_cluster.start_entry(number);
    }
    // Workers that know higher epochs than the backup take work again.
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(1, "again") == "done"; }));
    EXPECT_EQ(m_cluster.get_job_state(1, "once"), "outcome_unknown");
    EXPECT_EQ(m_cluster.get_status_number(1, "config_version"), 1U);
    EXPECT_EQ(submit("new"), 202);
    EXPECT_TRUE(test_cluster::wait_until([&] { return m_cluster.get_job_state(1, "new") == "done"; }));
    EXPECT_TRUE(test_cluster::wait_until([&] {
        return m_cluster.send(1, "POST", "/v1/call/fast", "x", {{header_tenant, "t"}}).response.status == 200;
    }));
    check_promises({}, {"again", "new"});
}

TEST_F(cluster_test, drained_entry_serves_by_others_until_it_is_resumed) {
    m_cluster.make_ready(config_text);
    load traffic(m_cluster, {1, 2, 3}, 4);
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

TEST_F(cluster_test, many_jobs_with_a_call_are_answered_one_by_one) {
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
    // Some were done before; each ends.
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
