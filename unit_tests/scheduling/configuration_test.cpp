#include "poplarpitch/scheduling/configuration_checker.h"
#include "poplarpitch/scheduling/job_configuration.h"
#include "poplarpitch/scheduling/step_job.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

job_configuration make_configuration() {
    job_configuration configuration;
    configuration.version = 3;
    configuration.pools.push_back({"mill", true, false, 64});
    queue_settings queue;
    queue.name = "all";
    queue.host = "mill.example";
    queue.prefix = "/jobs/";
    queue.pool = "mill";
    queue.timeout = seconds{3};
    configuration.queues.push_back(queue);
    queue.name = "night";
    queue.prefix = "/jobs/night/";
    configuration.queues.push_back(queue);
    return configuration;
}

TEST(job_configuration, finds_the_queue_with_the_longest_prefix_of_the_host) {
    const auto configuration = make_configuration();
    EXPECT_EQ(configuration.find_queue("mill.example", "/jobs/1")->name, "all");
    EXPECT_EQ(configuration.find_queue("mill.example", "/jobs/night/1")->name, "night");
    EXPECT_EQ(configuration.find_queue("other.example", "/jobs/1"), nullptr);
    EXPECT_EQ(configuration.find_queue("mill.example", "/other/1"), nullptr);
}

TEST(configuration_checker, accepts_a_valid_configuration_and_refuses_invalid_ones) {
    EXPECT_FALSE(find_configuration_error(make_configuration()).has_value());
    auto unknown_pool = make_configuration();
    unknown_pool.queues[0].pool = "none";
    EXPECT_TRUE(find_configuration_error(unknown_pool).has_value());
    auto same_host_prefix = make_configuration();
    same_host_prefix.queues[1].prefix = same_host_prefix.queues[0].prefix;
    EXPECT_TRUE(find_configuration_error(same_host_prefix).has_value());
    auto no_timeout = make_configuration();
    no_timeout.queues[0].timeout = duration{0};
    EXPECT_TRUE(find_configuration_error(no_timeout).has_value());
    auto no_version = make_configuration();
    no_version.version = 0;
    EXPECT_TRUE(find_configuration_error(no_version).has_value());
}

TEST(step_job, reports_what_is_wrong_with_a_job) {
    step_job job;
    EXPECT_TRUE(validate_job(job).has_value()); // no steps
    job.steps.resize(2);
    EXPECT_FALSE(validate_job(job).has_value());
    job.steps[0].depends_on = {1};
    EXPECT_TRUE(validate_job(job).has_value());
    job.steps[0].depends_on = {0};
    EXPECT_TRUE(validate_job(job).has_value());
    job.steps[0].depends_on.clear();
    job.steps[1].count = 0;
    EXPECT_TRUE(validate_job(job).has_value());
    job.steps[1].count = 1;
    job.payload = std::string(4001, 'x');
    EXPECT_TRUE(validate_job(job).has_value());
}

TEST(step_job, computes_the_critical_path) {
    step_job job;
    job.steps.resize(4);
    const std::vector<std::int64_t> lengths = {100, 500, 200, 50};
    job.steps[1].depends_on = {0};
    job.steps[2].depends_on = {0};
    job.steps[3].depends_on = {2};
    EXPECT_EQ(job.get_critical_path_ms(lengths), 600);
    EXPECT_EQ(job.get_remaining_path_ms(2, lengths), 250);
    EXPECT_EQ(job.get_remaining_path_ms(0, lengths), 600);
}

} // namespace
} // namespace poplarpitch
