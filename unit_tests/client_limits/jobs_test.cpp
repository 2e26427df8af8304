// Whole jobs inside every limit of a request, and what the schedulers hold of them.
#include "unit_tests/client_limits/limits_fixture.h"
#include "unit_tests/net/raw_client.h"

#include "poplarpitch/net/socket_address.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace poplarpitch {
namespace {

constexpr int flood_connections = 300;
constexpr int jobs_per_connection = 100;

std::string make_post(int number, const std::string& body) {
    return absl::StrCat(
        "POST /jobs/0000000000", absl::Hex(number, absl::kZeroPad6),
        " HTTP/1.1\r\nHost: mill.example\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
        "\r\n\r\n", body);
}

std::string make_job(std::size_t payload_bytes, int steps, int tasks) {
    nlohmann::json job = {{"spec", std::string(payload_bytes, 'x')}, {"steps", nlohmann::json::array()}};
    for (int step = 0; step < steps; ++step) {
        job["steps"].push_back({{"count", tasks}, {"cpu", 100}, {"memMb", 10}});
    }
    return job.dump();
}

TEST_F(client_limits, hold_many_whole_jobs) {
    const auto job = make_job(4000, 1, 1);
    const auto make_message = [&](int connection) {
        crowd_message message;
        for (int number = 0; number < jobs_per_connection; ++number) {
            message.opening += make_post(connection * jobs_per_connection + number + 1, job);
        }
        return message;
    };
    expect_held(m_cluster->get_caller_address(), flood_connections, make_message);
}

TEST_F(client_limits, hold_a_job_of_millions_of_tasks) {
    const int socket = open_connection(parse_socket_address(m_cluster->get_caller_address())->port);
    const auto message = make_post(1, make_job(4, 64, 100'000));
    ::send(socket, message.data(), message.size(), MSG_NOSIGNAL);
    static_cast<void>(read_status(socket));
    ::close(socket);
    sample();
    EXPECT_TRUE(is_caller_answered(1));
    expect_bounds();
}

} // namespace
} // namespace poplarpitch
