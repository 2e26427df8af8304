// Start orders over real connections to a worker that closes them before it has answered.
#include "platform/dialect.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/scheduler/worker_link.h"
#include "poplarpitch/scheduling/step_job.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long

/// A worker that answers the first call, closes all connections at the second one without an answer, and
/// answers all later calls with a given response.
class disconnecting_worker {
public:
    disconnecting_worker(event_loop& loop, http_response later_response)
        : m_loop(loop), m_later_response(std::move(later_response)) {
        listen();
    }

    [[nodiscard]] std::string get_address() const { return "127.0.0.1:" + std::to_string(m_port); }

    int received_calls = 0;

private:
    static constexpr int unanswered_call = 2;

    void listen() {
        http_listener_settings settings;
        settings.host = "127.0.0.1";
        settings.port = m_port;
        m_listener = std::make_unique<http_listener>(
            m_loop, settings, [this](const http_request& /*request*/, const http_responder& respond) {
                ++received_calls;
                if (received_calls < unanswered_call) {
                    respond(make_success());
                } else if (received_calls > unanswered_call) {
                    respond(m_later_response);
                } else {
                    m_loop.post([this] {
                        m_listener.reset();
                        listen();
                    });
                }
            });
        m_port = m_listener->start().value();
    }
    static http_response make_success() {
        http_response response;
        response.status = 200;
        response.body = R"({"clockMs":1})";
        return response;
    }

    event_loop& m_loop;
    http_response m_later_response;
    int m_port = 0;
    std::unique_ptr<http_listener> m_listener;
};

/// Sends two starts one after the other, the second one over the connection of the first. Returns the failure
/// of the second, or nothing when it succeeded.
std::optional<order_failure> start_over_a_dropped_connection(int later_status,
                                                             const std::string& later_body) {
    event_loop loop;
    http_caller caller{loop, http_caller_settings{}};
    worker_link<platform::dialect> link{loop, caller};
    http_response later_response;
    later_response.status = later_status;
    later_response.body = later_body;
    disconnecting_worker worker{loop, later_response};
    start_order order;
    order.target = {{"w1", 0}, worker.get_address(), 1, false, seconds{5}};
    order.run = {{{1, 0, 0}, 0}, 1};
    order.job = std::make_shared<step_job>();
    loop.call_after(wait_timeout, [&] { loop.stop(); });
    std::optional<order_failure> failure;
    link.send(order, [&](const order_outcome& first) {
        EXPECT_FALSE(first.failure.has_value());
        link.send(order, [&](const order_outcome& second) {
            failure = second.failure;
            loop.stop();
        });
    });
    loop.run();
    EXPECT_EQ(worker.received_calls, 3) << "the second start must arrive twice";
    return failure;
}

TEST(start_link, takes_no_refusal_of_a_second_attempt_for_what_became_of_the_first) {
    EXPECT_EQ(start_over_a_dropped_connection(503, ""), order_failure::unanswered);
    EXPECT_EQ(start_over_a_dropped_connection(429, ""), order_failure::unanswered);
    EXPECT_EQ(start_over_a_dropped_connection(400, ""), order_failure::unanswered);
    for (const std::string reason : {"room", "ticket", "fence", "late"}) {
        const auto body = R"({"clockMs":1,"reason":")" + reason + R"("})";
        EXPECT_EQ(start_over_a_dropped_connection(409, body), order_failure::unanswered) << reason;
    }
}

TEST(start_link, accepts_a_refusal_of_the_second_attempt_that_concerns_the_run_or_its_worker) {
    EXPECT_EQ(start_over_a_dropped_connection(409, R"({"clockMs":1,"reason":"old"})"),
              order_failure::stale_run);
    EXPECT_EQ(start_over_a_dropped_connection(421, ""), order_failure::other_incarnation);
}

TEST(start_link, takes_the_success_of_a_second_attempt_for_both) {
    EXPECT_FALSE(start_over_a_dropped_connection(200, R"({"clockMs":1})").has_value());
}

} // namespace
} // namespace poplarpitch
