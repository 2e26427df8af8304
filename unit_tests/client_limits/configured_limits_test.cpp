// The limits of the operators' configuration: what is inside them is served, what is beyond is refused.
#include "unit_tests/client_limits/limits_fixture.h"
#include "unit_tests/net/raw_client.h"

#include "poplarpitch/net/socket_address.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t whole = 0; // sends a message in one piece
const nlohmann::json usual_limits = {{"maxHeaderBytes", 16'384},
                                     {"maxBodyBytes", 262'144},
                                     {"headerTimeoutMs", 3000},
                                     {"idleTimeoutMs", 15'000}};

class configured_limits : public client_limits {
protected:
    [[nodiscard]] int connect() const {
        return open_connection(parse_socket_address(m_cluster->get_caller_address())->port);
    }

    /// Sends a message, in pieces of `piece` bytes with pauses. Returns the status of the response.
    [[nodiscard]] std::optional<int> send(const std::string& message, std::size_t piece = whole,
                                          duration pause = {}) const {
        const int socket = connect();
        const auto status = send_on(socket, message, piece, pause);
        ::close(socket);
        return status;
    }

    static std::optional<int> send_on(int socket, const std::string& message, std::size_t piece = whole,
                                      duration pause = {}) {
        const auto step = piece == whole ? message.size() : piece;
        for (std::size_t offset = 0; offset < message.size(); offset += step) {
            const auto part = message.substr(offset, step);
            ::send(socket, part.data(), part.size(), MSG_NOSIGNAL);
            absl::SleepFor(absl::Nanoseconds(pause.count()));
        }
        return read_status(socket);
    }

    /// Returns the header of a submission under a new id, without its end.
    std::string make_header() {
        return absl::StrCat("POST /jobs/00000000000001", absl::Hex(++m_jobs, absl::kZeroPad2),
                            " HTTP/1.1\r\nHost: mill.example\r\nContent-Type: application/json\r\n");
    }

    std::string make_post(const std::string& body) {
        return absl::StrCat(make_header(), "Content-Length: ", body.size(), "\r\n\r\n", body);
    }

    /// Returns a request whose header has `bytes` bytes.
    std::string make_post_with_header(std::size_t bytes) {
        const auto body = make_job(0);
        const auto header = absl::StrCat(make_header(), "Content-Length: ", body.size(), "\r\nX-Filler: ");
        const std::string end = "\r\n\r\n";
        return absl::StrCat(header, std::string(bytes - header.size() - end.size(), 'x'), end, body);
    }

    /// Returns a job of at least `bytes` bytes.
    static std::string make_job(std::size_t bytes, int steps = 1, std::size_t payload_bytes = 4) {
        nlohmann::json job = {{"spec", std::string(payload_bytes, 'x')}, {"steps", nlohmann::json::array()}};
        for (int step = 0; step < steps; ++step) {
            job["steps"].push_back({{"count", 1}, {"cpu", 100}, {"memMb", 10}, {"estimateMs", 100}});
        }
        auto text = job.dump();
        text.resize(std::max(text.size(), bytes), ' ');
        return text;
    }

private:
    std::atomic<int> m_jobs{0};
};

TEST_F(configured_limits, are_in_force_once_the_configuration_is) {
    m_cluster->put_limits(
        2,
        {{"maxHeaderBytes", 2000}, {"maxBodyBytes", 5000}, {"headerTimeoutMs", 500}, {"idleTimeoutMs", 700}});
    EXPECT_EQ(send(make_post_with_header(2000)), 200);
    EXPECT_EQ(send(make_post_with_header(2001)), 431);
    EXPECT_EQ(send(make_post(make_job(5000))), 200);
    EXPECT_EQ(send(make_post(make_job(5001))), 413);
    EXPECT_EQ(send(make_header()), 408);
    EXPECT_EQ(send(""), 0);
    m_cluster->put_limits(3, {{"maxHeaderBytes", 3000}, {"maxBodyBytes", 6000}});
    EXPECT_EQ(send(make_post_with_header(2001)), 200);
    EXPECT_EQ(send(make_post(make_job(5001))), 200);
}

TEST_F(configured_limits, hold_no_client_back_that_is_inside_the_usual_ones) {
    m_cluster->put_limits(2, usual_limits);
    const auto large = make_job(260'000);
    std::string chunks;
    for (std::size_t offset = 0; offset < large.size(); offset += 1000) {
        const auto part = large.substr(offset, 1000);
        absl::StrAppend(&chunks, absl::Hex(part.size()), ";name=value\r\n", part, "\r\n");
    }
    std::vector<std::thread> clients;
    const auto expect_served = [&](const char* name, std::string message, std::size_t piece, duration pause) {
        clients.emplace_back([this, name, message = std::move(message), piece, pause] {
            EXPECT_EQ(send(message, piece, pause), 200) << name;
        });
    };
    expect_served("header of 16,000 bytes", make_post_with_header(16'000), whole, {});
    expect_served("body at once", make_post(large), whole, {});
    expect_served("body in pieces", make_post(large), 13'000, {});
    expect_served("chunks with extensions and trailers",
                  absl::StrCat(make_header(), "Transfer-Encoding: chunked\r\n\r\n", chunks,
                               "0\r\nX-Trailer: value\r\n\r\n"),
                  whole, {});
    expect_served("header over 2.4 s", make_post_with_header(2400), 100, milliseconds{96});
    expect_served("body over 2 s", make_post(large), 26'000, milliseconds{200});
    expect_served("64 steps", make_post(make_job(0, 64, 4000)), whole, {});
    clients.emplace_back([this] {
        const int socket = connect();
        EXPECT_EQ(send_on(socket, make_post(make_job(0))), 200);
        absl::SleepFor(absl::Seconds(13));
        EXPECT_EQ(send_on(socket, make_post(make_job(0))), 200) << "used again after 13 s";
        ::close(socket);
    });
    for (auto& client : clients) {
        client.join();
    }
}

} // namespace
} // namespace poplarpitch
