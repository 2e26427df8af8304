// What refusals promise, with a copy of the request elsewhere, and a stop beside clients that move nothing.
#include "unit_tests/client_limits/limits_fixture.h"
#include "unit_tests/net/raw_client.h"

#include "poplarpitch/net/socket_address.h"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <string>

namespace poplarpitch {
namespace {

constexpr int gateways = 2;
constexpr duration ready_timeout = seconds{30}; // only a failing test waits this long
constexpr int flood_jobs = 8000;                // of 4,000 bytes: more than the schedulers accept
const std::string refused_id = "00000000000000bb";

std::string make_post(const std::string& id, const std::string& body) {
    return absl::StrCat("POST /jobs/", id, " HTTP/1.1\r\nHost: mill.example\r\n",
                        "Content-Type: application/json\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

std::string make_job(std::size_t payload_bytes) {
    return absl::StrCat(R"({"spec":")", std::string(payload_bytes, 'x'),
                        R"(","steps":[{"count":1,"cpu":100,"memMb":10}]})");
}

/// Sends bytes to the first gateway. Returns the status of the response, 0 when there is none.
int send_bytes(const scheduler_cluster& cluster, const std::string& bytes) {
    const int socket = open_connection(parse_socket_address(cluster.get_caller_address())->port);
    ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::shutdown(socket, SHUT_WR);
    const auto status = read_status(socket).value_or(0);
    ::close(socket);
    return status;
}

// A job must not exist that its caller did not send whole, whichever instance is asked.
TEST(refusal_promise, holds_for_a_request_that_was_not_read_whole) {
    scheduler_cluster cluster(1, {}, {}, gateways);
    cluster.put_config(1);
    ASSERT_TRUE(cluster.submit("00000000000000aa", 1, ready_timeout));
    const auto whole = make_post(refused_id, make_job(4));
    for (const auto length : {whole.size() - 1, whole.size() / 2, whole.find("\r\n\r\n") + 4}) {
        EXPECT_EQ(send_bytes(cluster, whole.substr(0, length)), 0) << length;
        for (int gateway = 1; gateway <= gateways; ++gateway) {
            const auto state = cluster.send_caller_request("GET", "/jobs/" + refused_id, {}, gateway);
            ASSERT_TRUE(state.has_value());
            EXPECT_EQ(state->status, 410) << length;
        }
    }
    const auto copy = cluster.send_caller_request("POST", "/jobs/" + refused_id, make_job(4), 2);
    ASSERT_TRUE(copy.has_value());
    EXPECT_EQ(copy->status, 200);
}

// A job that was refused for want of memory must not be accepted from a copy that is sent with it elsewhere.
TEST(refusal_promise, holds_for_a_job_that_was_refused_for_want_of_memory) {
    scheduler_cluster cluster(1, {}, {}, gateways);
    cluster.put_config(1);
    const auto job = make_job(4000);
    std::string refused;
    for (int number = 1; number <= flood_jobs && refused.empty(); ++number) {
        const auto id = absl::StrCat("0000000000", absl::Hex(number, absl::kZeroPad6));
        const auto answer = cluster.send_caller_request("POST", "/jobs/" + id, job);
        ASSERT_TRUE(answer.has_value());
        ASSERT_TRUE(answer->status == 200 || answer->status == 429) << answer->status;
        if (answer->status == 429) {
            refused = id;
            EXPECT_FALSE(answer->headers.get("Retry-After").empty());
        }
    }
    ASSERT_FALSE(refused.empty()) << "nothing was refused";
    const auto copy = cluster.send_caller_request("POST", "/jobs/" + refused, job, 2);
    ASSERT_TRUE(copy.has_value());
    EXPECT_EQ(copy->status, 429);
    for (int gateway = 1; gateway <= gateways; ++gateway) {
        const auto state = cluster.send_caller_request("GET", "/jobs/" + refused, {}, gateway);
        ASSERT_TRUE(state.has_value());
        EXPECT_EQ(state->status, 410);
        const auto accepted = cluster.send_caller_request("GET", "/jobs/0000000000000001", {}, gateway);
        ASSERT_TRUE(accepted.has_value());
        EXPECT_EQ(accepted->status, 200) << "what was accepted is kept";
    }
}

// Both processes ended only when they were killed if they waited for such clients.
TEST_F(client_limits, let_processes_stop_beside_clients_that_move_nothing) {
    const crowd_message partial{"POST /jobs/0000000000000001 HTTP/1.1\r\nContent-Length: 9\r\n\r\nx", {}, 0};
    client_crowd reading(m_cluster->get_caller_address(), 100, partial);
    client_crowd at_control(get_control_address(), 100, partial);
    const std::string request = "GET /jobs/" + m_job + " HTTP/1.1\r\nHost: mill.example\r\n\r\n";
    client_crowd unread(m_cluster->get_caller_address(), 100, {"", request, 256U << 10});
    unread.send_all([] {});
    reading.send_all([] {});
    at_control.send_all([] {});
    m_cluster->get_gateway().send(SIGTERM);
    EXPECT_EQ(m_cluster->get_gateway().wait(), 0);
    m_cluster->get_scheduler(1).send(SIGTERM);
    EXPECT_EQ(m_cluster->get_scheduler(1).wait(), 0);
}

} // namespace
} // namespace poplarpitch
