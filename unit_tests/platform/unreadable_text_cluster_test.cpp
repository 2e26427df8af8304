// Runs a cluster of real processes to which another writer sends bytes that are not UTF-8.
#include "unit_tests/platform/raw_request.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <string>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long
constexpr int worker_count = 6;
constexpr int job_count = 20;
const std::string bytes = "i-7f\xe9\xff";

std::string make_heartbeat(const std::string& state) {
    return R"({"service":"mill","addr":"127.0.0.1:9","zone":"default","capacity":{"cpu":16000,"memMb":32768},)"
           R"("labels":["a","r1"],"clockMs":5,"seq":1,"state":")" +
           state + R"("})";
}

std::string make_job_id(int number) {
    return absl::StrCat("00000000000000", absl::Hex(number, absl::kZeroPad2));
}

// Each such heartbeat lost the assignments and ends of a whole batch, and the jobs stood still for good.
TEST(unreadable_text_cluster, completes_accepted_jobs_beside_heartbeats_with_an_unreadable_id) {
    scheduler_cluster cluster(3);
    const stand_in_workers workers(worker_count, cluster.get_control_addresses(), milliseconds{50});
    cluster.put_config(1);
    const auto controls = cluster.get_control_addresses();
    for (int number = 0; number < job_count; ++number) {
        ASSERT_TRUE(cluster.submit(make_job_id(number), 4, wait_timeout));
        for (const auto& control : controls) {
            for (const char* state : {"ready", "draining"}) {
                const auto status = send_raw_request(
                    control, make_raw_post("/v1/Instances.Heartbeat/" + bytes, make_heartbeat(state)));
                EXPECT_TRUE(status == 400 || status == 307) << status;
            }
        }
    }
    for (int number = 0; number < job_count; ++number) {
        EXPECT_TRUE(cluster.wait_for_state(make_job_id(number), "completed", wait_timeout)) << number;
    }
}

// Such a request was answered 504 after its whole time limit, and so was each repetition of it.
TEST(unreadable_text_cluster, answers_400_to_a_request_that_is_not_utf8) {
    scheduler_cluster cluster(1);
    cluster.put_config(1);
    const auto entry = cluster.get_caller_address();
    const std::string job = R"({"spec":"text","steps":[{"count":1}]})";
    EXPECT_EQ(send_raw_request(entry, make_raw_post("/jobs/" + bytes, job)), 400);
    EXPECT_EQ(
        send_raw_request(entry, make_raw_post("/jobs/0000000000000001", R"({"spec":")" + bytes + "\"}")),
        400);
    EXPECT_EQ(send_raw_request(entry, "GET /jobs/0000000000000001 HTTP/1.1\r\nHost: " + bytes + "\r\n\r\n"),
              400);
}

} // namespace
} // namespace poplarpitch
