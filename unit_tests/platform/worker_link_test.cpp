// Acknowledgements over real connections to a worker that restarts at the same address under the same id.
#include "platform/dialect.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/scheduler/worker_link.h"
#include "poplarpitch/scheduling/step_job.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration wait_timeout = seconds{60}; // only a failing test waits this long
constexpr std::int64_t first_process_start_ms = 1'700'000'000'000;
constexpr std::int64_t second_process_start_ms = 1'700'000'005'000;

/// A worker that lists no runs and records the acknowledgements that it receives.
class acknowledgement_recorder {
public:
    explicit acknowledgement_recorder(event_loop& loop) : m_loop(loop) { start(first_process_start_ms); }

    /// Ends the current worker process and starts the next one at the same address.
    void start(std::int64_t process_start_ms) {
        m_listener.reset();
        http_listener_settings settings;
        settings.host = "127.0.0.1";
        settings.port = m_port;
        m_listener = std::make_unique<http_listener>(
            m_loop, settings,
            [this, process_start_ms](const http_request& request, const http_responder& respond) {
                acknowledged.push_back(nlohmann::json::parse(request.body).at("ackedUpto"));
                http_response response;
                response.status = 200;
                response.body = R"({"clockMs":1,"running":[],"ended":[],"born":)" +
                                std::to_string(process_start_ms) + "}";
                respond(response);
            });
        m_port = m_listener->start().value();
    }
    void stop() { m_listener.reset(); }
    [[nodiscard]] std::string get_address() const { return "127.0.0.1:" + std::to_string(m_port); }

    std::vector<std::uint64_t> acknowledged;

private:
    event_loop& m_loop;
    int m_port = 0;
    std::unique_ptr<http_listener> m_listener;
};

class worker_link_test : public testing::Test {
protected:
    /// Sends a hold to the worker process that started at `process_start_ms`, and waits for its outcome.
    order_outcome hold(std::int64_t process_start_ms, std::uint64_t acknowledged) {
        hold_order order;
        order.target = {{"w1", process_start_ms}, m_worker.get_address(), 1, false, seconds{5}};
        order.acknowledged_up_to = acknowledged;
        order_outcome outcome;
        const auto timeout_timer = m_loop.call_after(wait_timeout, [this] { m_loop.stop(); });
        m_link.send(order, [&](order_outcome result) {
            outcome = std::move(result);
            m_loop.stop();
        });
        m_loop.get_context().restart(); // clears the stop that ended the previous call
        m_loop.run();
        m_loop.cancel(timeout_timer);
        return outcome;
    }

    event_loop m_loop;
    http_caller m_caller{m_loop, http_caller_settings{}};
    worker_link<platform::dialect> m_link{m_loop, m_caller};
    acknowledgement_recorder m_worker{m_loop};
};

TEST_F(worker_link_test, acknowledges_to_the_incarnation_that_listed) {
    hold(first_process_start_ms, 0);
    hold(first_process_start_ms, 0);
    EXPECT_FALSE(hold(first_process_start_ms, 5).failure.has_value());
    EXPECT_EQ(m_worker.acknowledged, (std::vector<std::uint64_t>{0, 0, 5}));
}

TEST_F(worker_link_test, acknowledges_nothing_to_the_incarnation_after_the_one_that_listed) {
    hold(first_process_start_ms, 0);
    hold(first_process_start_ms, 0);
    m_worker.start(second_process_start_ms);
    for (int attempt = 0; attempt < 3; ++attempt) {
        hold(first_process_start_ms, 5);
    }
    const auto outcome = hold(first_process_start_ms, 5);
    EXPECT_EQ(outcome.answer.process_start_ms, second_process_start_ms);
    EXPECT_EQ(*std::max_element(m_worker.acknowledged.begin(), m_worker.acknowledged.end()), 0U);
}

TEST_F(worker_link_test, acknowledges_nothing_before_the_expected_incarnation_has_listed) {
    EXPECT_FALSE(hold(first_process_start_ms, 5).failure.has_value());
    EXPECT_EQ(m_worker.acknowledged, (std::vector<std::uint64_t>{0}));
}

TEST_F(worker_link_test, acknowledges_to_the_next_incarnation_what_it_listed) {
    hold(first_process_start_ms, 0);
    m_worker.start(second_process_start_ms);
    hold(second_process_start_ms, 0);
    hold(second_process_start_ms, 0);
    hold(second_process_start_ms, 0);
    m_worker.acknowledged.clear();
    hold(second_process_start_ms, 2);
    EXPECT_EQ(m_worker.acknowledged, (std::vector<std::uint64_t>{2}));
}

TEST_F(worker_link_test, acknowledges_by_id_when_workers_report_no_start_time) {
    EXPECT_FALSE(hold(0, 5).failure.has_value());
    EXPECT_EQ(m_worker.acknowledged, (std::vector<std::uint64_t>{5}));
}

/// A worker that carries out every start, but closes the connection of the second call before it is answered
/// and answers all later calls with 503.
class disconnecting_worker {
public:
    explicit disconnecting_worker(event_loop& loop) : m_loop(loop) { listen(); }

    [[nodiscard]] std::string get_address() const { return "127.0.0.1:" + std::to_string(m_port); }

    int call_count = 0;

private:
    void listen() {
        m_listener.reset();
        http_listener_settings settings;
        settings.port = m_port;
        m_listener = std::make_unique<http_listener>(
            m_loop, settings,
            [this](const http_request&, const http_responder& respond) { handle_call(respond); });
        m_port = m_listener->start().value();
    }

    void handle_call(const http_responder& respond) {
        ++call_count;
        if (call_count == 2) {
            m_loop.post([this] { listen(); });
            return;
        }
        http_response response;
        response.status = call_count == 1 ? 200 : 503;
        response.body = R"({"clockMs":1})";
        respond(response);
    }

    event_loop& m_loop;
    int m_port = 0;
    std::unique_ptr<http_listener> m_listener;
};

TEST(worker_link, reports_a_start_as_unanswered_when_only_its_repetition_is_refused) {
    event_loop loop;
    http_caller caller{loop, http_caller_settings{}};
    worker_link<platform::dialect> link{loop, caller};
    disconnecting_worker worker(loop);
    std::vector<std::optional<order_failure>> outcomes;
    const auto job = std::make_shared<step_job>();
    const auto send_start = [&](const worker_link<platform::dialect>::outcome_handler& on_outcome) {
        start_order order;
        order.target = {{"w1", 0}, worker.get_address(), 1, false, seconds{30}};
        order.job = job;
        link.send(order, on_outcome);
    };
    loop.call_after(wait_timeout, [&] { loop.stop(); });
    send_start([&](const order_outcome& first) {
        outcomes.push_back(first.failure);
        send_start([&](const order_outcome& second) {
            outcomes.push_back(second.failure);
            loop.stop();
        });
    });
    loop.run();
    EXPECT_EQ(worker.call_count, 3);
    const std::vector<std::optional<order_failure>> expected = {std::nullopt, order_failure::unanswered};
    EXPECT_EQ(outcomes, expected);
}

} // namespace
} // namespace poplarpitch
