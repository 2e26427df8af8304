#include "poplarpitch/net/endpoint_report.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/telemetry/metrics_registry.h"
#include "unit_tests/dispatch/log_capture.h"
#include "unit_tests/net/raw_client.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

namespace poplarpitch {
namespace {

constexpr int refused_clients = 100;
constexpr time_point start{seconds{100}};

// A line for each refused client would fill the log, in which the cause of an attack has to be found.
TEST(endpoint_report, logs_a_crowd_of_refused_clients_in_one_line_a_second) {
    event_loop loop;
    memory_budget budget(64U << 20);
    http_listener listener(
        loop, budget, http_listener_settings{},
        [](const http_request& /*request*/, const http_responder& respond) { respond({}); });
    const int port = listener.start().value();
    endpoint_report report(budget);
    report.add(endpoint_kind::callers, listener);
    const log_capture capture;
    std::thread clients([&] {
        for (int number = 0; number < refused_clients; ++number) {
            const int socket = open_connection(port);
            const std::string request = "GET / HTTP/9.9\r\n\r\n";
            ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
            EXPECT_EQ(read_status(socket), 400);
            ::close(socket);
            loop.post([&] { report.log(start); });
        }
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    clients.join();
    EXPECT_EQ(capture.find("clients_refused").size(), 1U);
    report.log(start + seconds{1});
    report.log(start + seconds{9});
    const auto lines = capture.find("clients_refused");
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_NE(lines[0].find("endpoint=callers"), std::string::npos) << lines[0];
    EXPECT_NE(lines[0].find("malformed=1"), std::string::npos) << lines[0];
    EXPECT_NE(lines[1].find("malformed=99"), std::string::npos) << lines[1];
    metrics_registry metrics;
    report.set_metrics(metrics);
    EXPECT_NE(metrics.format().find(
                  R"(poplarpitch_clients_refused_total{service="callers",outcome="malformed"} 100)"),
              std::string::npos)
        << metrics.format();
}

} // namespace
} // namespace poplarpitch
