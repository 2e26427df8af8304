// Requests relayed by an entry instance while the leader fails, is absent or returns.
#include "poplarpitch/gateway/leader_link.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration leader_wait = milliseconds{300};
constexpr duration deadline = milliseconds{1500};
constexpr duration test_timeout = seconds{20};

/// A leading control instance on a real connection, which the test can make unresponsive.
class fake_leader {
public:
    explicit fake_leader(event_loop& loop)
        : m_listener(loop, "127.0.0.1", 0,
                     [this](std::shared_ptr<frame_socket> socket) { serve(std::move(socket)); }) {
        port = m_listener.start();
    }

    int port = 0;
    bool stops_at_first_request = false;
    std::uint32_t status = 200;
    bool is_responsive = true;                 ///< false: keeps the connection open but answers nothing
    std::vector<std::string> received_targets; ///< targets of all requests that arrived, answered or not

private:
    void serve(std::shared_ptr<frame_socket> socket) {
        auto* raw = socket.get();
        m_sockets.push_back(std::move(socket));
        raw->start([this, raw](const std::string& bytes) { answer(*raw, bytes); }, [] {});
    }

    void answer(frame_socket& socket, const std::string& bytes) {
        job_wire::cluster_frame frame;
        ASSERT_TRUE(frame.ParseFromString(bytes));
        if (frame.has_request()) {
            received_targets.push_back(frame.request().target());
            if (stops_at_first_request && received_targets.size() == 1) {
                is_responsive = false;
            }
        }
        if (!is_responsive) {
            return;
        }
        job_wire::cluster_frame reply;
        if (frame.has_request()) {
            reply.mutable_answer()->set_number(frame.request().number());
            reply.mutable_answer()->set_taken(true);
            reply.mutable_answer()->set_status(status);
        } else {
            reply.mutable_status()->mutable_status()->set_leads(true);
        }
        socket.send(reply.SerializeAsString());
    }

    frame_listener m_listener;
    std::vector<std::shared_ptr<frame_socket>> m_sockets;
};

/// A leader link and a fake leader on one event loop.
class link_test_environment {
public:
    link_test_environment() : leader(loop), link(loop, {"127.0.0.1"}, leader.port, leader_wait) {
        link.start();
        loop.call_after(test_timeout, [this] {
            ADD_FAILURE() << "the test did not end within its time limit";
            loop.stop();
        });
    }

    /// Runs until the link has found the leader and the validity of the leader's last frame has expired.
    void wait_until_confirmation_expires() {
        wait_for_connection();
        run();
    }

    /// Makes the leader unresponsive while its connection stays open.
    void stop_leader_responses() {
        wait_until_confirmation_expires();
        leader.is_responsive = false;
    }

    /// Runs the loop for this long.
    void run_for(duration length) {
        loop.call_after(length, [this] { loop.stop(); });
        run();
    }

    /// Sends a request, runs until it ends, and returns its outcome.
    relay_outcome relay(const std::string& method) {
        std::optional<relay_outcome> found;
        job_wire::relay_request request;
        request.set_method(method);
        request.set_target("/queue/1");
        link.relay(std::move(request), loop.now() + deadline, [this, &found](const relay_outcome& outcome) {
            found = outcome;
            loop.stop();
        });
        run();
        return found.value_or(relay_outcome{});
    }

    event_loop loop;
    fake_leader leader;
    leader_link link;

private:
    /// Runs until the loop is stopped. May be called again after that.
    void run() {
        loop.get_context().restart();
        loop.run();
    }

    void wait_for_connection() {
        loop.call_after(milliseconds{5}, [this] {
            if (!link.is_connected()) {
                wait_for_connection();
                return;
            }
            loop.call_after(milliseconds{80}, [this] { loop.stop(); });
        });
    }
};

TEST(leader_link, relays_to_a_leader_that_answers) {
    link_test_environment env;
    env.wait_until_confirmation_expires();
    const auto outcome = env.relay("POST");
    EXPECT_EQ(outcome.result, relay_outcome::kind::answered);
    EXPECT_EQ(outcome.status, 200);
}

/// Load pattern: all control instances lose power at once; the connection stays open for a second.
TEST(leader_link, rejects_a_change_unsent_when_the_leader_has_just_died) {
    link_test_environment env;
    env.stop_leader_responses();
    const auto outcome = env.relay("POST");
    EXPECT_EQ(outcome.result, relay_outcome::kind::never_sent);
    EXPECT_TRUE(env.leader.received_targets.empty()); // so the answer "not accepted" is correct
    EXPECT_GE(outcome.retry_after, seconds{1});
}

TEST(leader_link, reports_unknown_when_only_a_second_copy_was_refused) {
    link_test_environment env;
    env.wait_until_confirmation_expires();
    env.leader.stops_at_first_request = true;
    env.leader.status = 429;
    env.loop.call_after(milliseconds{1080}, [&env] { env.leader.is_responsive = true; });
    const auto outcome = env.relay("POST");
    EXPECT_EQ(env.leader.received_targets.size(), 2U);
    EXPECT_EQ(outcome.result, relay_outcome::kind::unknown) << outcome.status;
}

TEST(leader_link, sends_reads_to_a_silent_leader) {
    link_test_environment env;
    env.stop_leader_responses();
    const auto outcome = env.relay("GET");
    EXPECT_EQ(outcome.result, relay_outcome::kind::not_read); // whether a read arrived makes no difference
    EXPECT_GE(outcome.retry_after, seconds{1});
    EXPECT_EQ(env.leader.received_targets.size(), 1U);
}

/// Load pattern: all control instances lose power for seconds while callers read their jobs' states. Each
/// caller got a 504 at its deadline, which means that the request may have been carried out.
TEST(leader_link, fails_reads_before_the_deadline_once_the_leader_is_lost) {
    link_test_environment env;
    env.stop_leader_responses();
    const auto started_at = env.loop.now();
    const auto outcome = env.relay("GET");
    EXPECT_EQ(outcome.result, relay_outcome::kind::not_read);
    EXPECT_LT(env.loop.now() - started_at, deadline);
}

/// Load pattern: all control instances lose power for 5 s. Every caller waited 1.2 s before it was rejected,
/// although no election could be running any more.
TEST(leader_link, rejects_changes_at_once_when_no_election_can_be_running) {
    link_test_environment env;
    env.stop_leader_responses();
    EXPECT_EQ(env.relay("POST").result, relay_outcome::kind::never_sent);
    while (env.link.is_connected()) {
        env.run_for(milliseconds{50});
    }
    env.run_for(leader_wait * 2);
    const auto started_at = env.loop.now();
    const auto outcome = env.relay("POST");
    EXPECT_EQ(outcome.result, relay_outcome::kind::never_sent);
    EXPECT_LT(env.loop.now() - started_at, leader_wait / 2);
    EXPECT_GE(outcome.retry_after, seconds{1});
    env.leader.is_responsive = true;
    while (!env.link.is_connected()) {
        env.run_for(milliseconds{50});
    }
    EXPECT_EQ(env.relay("POST").result, relay_outcome::kind::answered)
        << "relaying goes on once there is one leader again";
}

TEST(leader_link, raises_retry_after_with_the_length_of_the_outage) {
    link_test_environment env;
    env.stop_leader_responses();
    duration last{};
    for (int request = 0; request < 8; ++request) {
        const auto outcome = env.relay("POST");
        EXPECT_EQ(outcome.result, relay_outcome::kind::never_sent);
        EXPECT_GE(outcome.retry_after, last);
        last = outcome.retry_after;
        env.run_for(leader_wait);
    }
    EXPECT_GT(last, seconds{2});
    EXPECT_LE(last, seconds{5});
}

} // namespace
} // namespace poplarpitch
