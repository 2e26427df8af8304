// Runs a cluster of real processes that holds a configuration whose version is beyond the highest one.
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stored_snapshot.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <string>

namespace poplarpitch {
namespace {

constexpr int scheduler_count = 3;

std::string make_document(const std::string& version) {
    return R"({"version":)" + version + R"(,"routes":[],"services":[]})";
}

/// Returns the state that an earlier release had after a configuration with the version -1.
std::string make_state_with_invalid_version() {
    job_configuration configuration;
    configuration.version = std::numeric_limits<std::uint64_t>::max();
    configuration.document = make_document("-1");
    job_wire::job_command command;
    encode(configuration, *command.mutable_config());
    job_state_machine state;
    std::vector<job_state_event> events;
    state.apply(command, events);
    return state.save();
}

std::int64_t read_version(scheduler_cluster& cluster) {
    const int leader = cluster.find_leader();
    const auto response = cluster.send_control_request(leader == 0 ? 1 : leader, "GET", "/v1/Config.Get");
    return response.has_value() && response->status == 200
               ? nlohmann::json::parse(response->body).at("version").get<std::int64_t>()
               : 0;
}

// Every later configuration was acknowledged and none took effect.
TEST(invalid_version_cluster, takes_the_next_configuration_and_keeps_it_under_a_new_leader) {
    scheduler_cluster cluster(scheduler_count);
    cluster.put_config(7);
    cluster.crash_all();
    for (int number = 1; number <= scheduler_count; ++number) {
        write_snapshot(cluster.get_folder() + "/data-" + std::to_string(number),
                       make_state_with_invalid_version());
    }
    for (int number = 1; number <= scheduler_count; ++number) {
        cluster.start_scheduler(number);
    }
    cluster.put_config(12);
    EXPECT_EQ(read_version(cluster), 12);
    cluster.put_config(9); // acknowledged, and changes nothing
    EXPECT_EQ(read_version(cluster), 12);
    const int leader = cluster.find_leader();
    ASSERT_NE(leader, 0);
    cluster.get_scheduler(leader).kill();
    cluster.put_config(11);
    EXPECT_EQ(read_version(cluster), 12);
}

TEST(invalid_version_cluster, refuses_a_configuration_with_such_a_version) {
    scheduler_cluster cluster(1);
    cluster.put_config(7);
    for (const char* version : {"-1", "1e19", "7.5", "18446744073709551615"}) {
        const auto response =
            cluster.send_control_request(1, "POST", "/v1/Config.Put", make_document(version));
        ASSERT_TRUE(response.has_value());
        EXPECT_EQ(response->status, 400) << version;
        EXPECT_NE(response->body.find("version"), std::string::npos) << response->body;
    }
    EXPECT_EQ(read_version(cluster), 7);
}

} // namespace
} // namespace poplarpitch
