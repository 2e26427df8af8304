#include "poplarpitch/gateway/caller_limits.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr std::size_t peer_memory = 40U << 20;

TEST(caller_limits, are_those_of_the_configuration) {
    const auto limits = merge_limits({}, {16'384, 262'144, seconds{3}, seconds{15}}, peer_memory);
    EXPECT_EQ(limits.max_header, 16'384U);
    EXPECT_EQ(limits.max_body, 262'144U);
    EXPECT_EQ(limits.header_timeout, seconds{3});
    EXPECT_EQ(limits.idle_timeout, seconds{15});
    EXPECT_EQ(limits.body_timeout, http_limits{}.body_timeout);
}

TEST(caller_limits, are_those_of_the_settings_where_the_configuration_sets_none) {
    const http_limits settings{.max_header = 4000, .max_body = 5000};
    EXPECT_EQ(merge_limits(settings, {}, peer_memory), settings);
}

// A configuration must not allow a body that the instance cannot hold.
TEST(caller_limits, allow_no_body_that_does_not_fit_into_the_memory) {
    const auto limits = merge_limits({}, {1LL << 60, 1LL << 60, {}, {}}, peer_memory);
    EXPECT_LE(limits.max_body, peer_memory / 12);
    EXPECT_LE(limits.max_header, peer_memory / 12);
}

TEST(caller_limits, stay_in_the_log_and_in_snapshots_of_the_configuration) {
    job_configuration configuration;
    configuration.version = 7;
    configuration.limits = {16'384, 262'144, seconds{3}, seconds{15}};
    job_wire::put_config message;
    encode(configuration, message);
    EXPECT_EQ(decode(message), configuration);
}

} // namespace
} // namespace poplarpitch
