// Configuration changes, leader failures, lost disks and backups with real daemons.
#include "poplarpitch/entry/protocol_names.h"
#include "unit_tests/support/cluster_fixture.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

TEST_F(cluster_test, frozen_leader_is_replaced_and_does_no_harm_when_it_wakes) {
    m_cluster.make_ready(config_text);
    caller_load traffic(m_cluster, {1, 2, 3}, 4);
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
                // Retries with the same id through another entry until there is a final answer.
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
    // The history contains exactly the accepted changes, in order and without gaps.
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
    EXPECT_EQ(submit("j"), 202); // the other instances continue to work
}

TEST_F(cluster_test, control_restarts_with_its_whole_state) {
    m_cluster.make_ready(config_text);
    EXPECT_EQ(submit("j"), 202);
    for (int number = 1; number <= 3; ++number) {
        m_cluster.get_control(number).kill();
    }
    // Without control, entries do not serve requests on an old configuration.
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

TEST_F(cluster_test, cluster_is_restored_from_a_backup) {
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
    // Workers that know higher epochs than the backup accept work again.
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

} // namespace
} // namespace poplarpitch
