// Configurations that cannot be read in full.
#include "platform/config_dialect.h"

#include "poplarpitch/scheduling/configuration_checker.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace poplarpitch::platform {
namespace {

const char* const valid_configuration =
    R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/","kind":"unsafe","timeoutMs":3000,
    "targetLatencyMs":250,"priority":0,"service":"s","maxAttempts":3,"stretch":1.5}],"services":[{"name":"s",
    "healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":true,"standby":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// Returns the reason why a configuration is refused; empty when it is accepted.
std::string find_reason(const nlohmann::json& document) {
    const auto configuration = read_configuration(document.dump());
    if (!configuration.has_value()) {
        return configuration.error().describe();
    }
    return find_configuration_error(configuration.value()).value_or("");
}

TEST(invalid_configuration, is_told_from_a_valid_one) {
    const auto configuration = read_configuration(valid_configuration);
    ASSERT_TRUE(configuration.has_value());
    EXPECT_EQ(configuration.value().version, 7U);
    ASSERT_EQ(configuration.value().queues.size(), 1U);
    EXPECT_EQ(configuration.value().queues[0].max_attempts, 3U);
    EXPECT_EQ(configuration.value().queues[0].timeout, seconds{3});
    ASSERT_EQ(configuration.value().pools.size(), 1U);
    EXPECT_EQ(configuration.value().pools[0].max_connections, 64U);
    EXPECT_EQ(configuration.value().limits, (request_limits{16'384, 262'144, seconds{3}, seconds{15}}));
}

// With the version -1, read as the highest number there is, no later configuration could take effect.
TEST(invalid_configuration, is_refused_for_a_version_that_is_no_positive_whole_number) {
    for (const char* version :
         {"-1", "0", "-9223372036854775808", "1e19", "18446744073709551615", "9223372036854775808", "7.5",
          "null", "\"7\"", "true", "[7]", "-0.5", "1e300"}) {
        auto document = nlohmann::json::parse(valid_configuration);
        document["version"] = nlohmann::json::parse(version);
        EXPECT_NE(find_reason(document), "") << version;
    }
    auto document = nlohmann::json::parse(valid_configuration);
    document["version"] = max_configuration_version;
    EXPECT_EQ(find_reason(document), "");
}

// Null and objects in the place of lists were acknowledged and dropped all routes.
TEST(invalid_configuration, is_refused_for_a_field_of_another_type_or_range) {
    const std::vector<std::pair<std::string, std::string>> changes = {
        {"/routes", "null"},
        {"/routes", "{}"},
        {"/routes", R"({"r":{"name":"r"}})"},
        {"/services", "null"},
        {"/services", "{}"},
        {"/limits", "[]"},
        {"/limits/maxHeaderBytes", "null"},
        {"/limits/maxBodyBytes", "-1"},
        {"/limits/headerTimeoutMs", "\"3000\""},
        {"/limits/idleTimeoutMs", "1e19"},
        {"/routes/0", "null"},
        {"/routes/0/name", "7"},
        {"/routes/0/host", "null"},
        {"/routes/0/timeoutMs", "-1"},
        {"/routes/0/timeoutMs", "0"},
        {"/routes/0/timeoutMs", "\"3000\""},
        {"/routes/0/targetLatencyMs", "-250"},
        {"/routes/0/priority", "0.5"},
        {"/routes/0/priority", "4294967296"},
        {"/routes/0/maxAttempts", "-1"},
        {"/routes/0/maxAttempts", "4294967296"},
        {"/routes/0/maxAttempts", "2.5"},
        {"/routes/0/stretch", "-1"},
        {"/routes/0/advice", "7"},
        {"/services/0/maxConns", "-1"},
        {"/services/0/enforcesCapacity", "1"},
        {"/services/0/standby", "null"},
    };
    for (const auto& [pointer, value] : changes) {
        auto document = nlohmann::json::parse(valid_configuration);
        document[nlohmann::json::json_pointer(pointer)] = nlohmann::json::parse(value);
        EXPECT_NE(find_reason(document), "") << pointer << " " << value;
    }
}

TEST(invalid_configuration, is_refused_for_a_missing_field_that_is_named) {
    for (const char* pointer : {"/routes", "/services", "/version"}) {
        auto document = nlohmann::json::parse(valid_configuration);
        document.erase(std::string(pointer).substr(1));
        EXPECT_EQ(find_reason(document), "the field " + std::string(pointer).substr(1) + " is missing");
    }
    auto document = nlohmann::json::parse(valid_configuration);
    document["routes"][0].erase("service");
    EXPECT_EQ(find_reason(document), "the field routes[0].service is missing");
}

} // namespace
} // namespace poplarpitch::platform
