// Requests relayed by an entry instance while the leader fails, is absent or returns.
#include "poplarpitch/gateway/leader_link.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
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
    bool is_responsive = true;                   ///< false: keeps the connection open but answers nothing
    std::vector<std::string> received_targets;   ///< targets of all requests that arrived, answered or not
    std::optional<job_wire::load_digest> digest; ///< part of each status; absent as of an older leader

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
            auto& content = *reply.mutable_status()->mutable_status();
            content.set_leads(true);
            if (digest.has_value()) {
                digest->set_version(digest->version() + 1);
                *content.mutable_load() = *digest;
            }
        }
        socket.send(reply.SerializeAsString());
    }

    frame_listener m_listener;
    std::vector<std::shared_ptr<frame_socket>> m_sockets;
};

/// A leader link and a fake leader on one event loop.
class link_test_environment {
public:
    explicit link_test_environment(bool spread_returns = false)
        : leader(loop), link(loop, {"127.0.0.1"}, leader.port, leader_wait, spread_returns) {
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
    relay_outcome relay(const std::string& method, const std::string& target = "/queue/1") {
        std::optional<relay_outcome> found;
        job_wire::relay_request request;
        request.set_method(method);
        request.set_target(target);
        link.relay(std::move(request), loop.now(), loop.now() + deadline,
                   [this, &found](const relay_outcome& outcome) {
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

constexpr std::int64_t spread_ms = 8000;
constexpr duration max_outage_retry = seconds{5}; // longest retry time without a spread
// Requests that expire together get retry times that differ by the time it takes to answer them.
constexpr duration max_range_without_spread = milliseconds{500};

job_wire::load_digest make_digest(std::int64_t validity_ms = 15'000) {
    job_wire::load_digest digest;
    digest.set_term(3);
    digest.set_validity_ms(validity_ms);
    digest.set_return_spread_ms(spread_ms);
    return digest;
}

/// Sends changes with different targets in the same moment, and returns the retry times of those that were
/// refused as never sent.
std::vector<duration> refuse_many(link_test_environment& env, std::size_t count) {
    std::vector<duration> found;
    for (std::size_t number = 0; number < count; ++number) {
        job_wire::relay_request request;
        request.set_method("POST");
        request.set_target("/queue/" + std::to_string(number));
        env.link.relay(std::move(request), env.loop.now(), env.loop.now() + deadline,
                       [&](const relay_outcome& outcome) {
                           if (outcome.result == relay_outcome::kind::never_sent) {
                               found.push_back(outcome.retry_after);
                           }
                       });
    }
    env.run_for(leader_wait * 2);
    return found;
}

/// Returns the difference of the longest and the shortest. Precondition: `times` is not empty.
duration get_range(const std::vector<duration>& times) {
    const auto [least, most] = std::minmax_element(times.begin(), times.end());
    return *most - *least;
}

/// Load pattern: the leader is lost while work waits. All callers that were refused in one moment returned in
/// one moment.
TEST(leader_link, spreads_the_return_of_callers_by_the_digest_of_the_lost_leader) {
    constexpr std::size_t callers = 100;
    link_test_environment env(true);
    env.leader.digest = make_digest();
    env.stop_leader_responses();
    EXPECT_TRUE(env.link.get_digest_age().has_value());
    const auto found = refuse_many(env, callers);
    ASSERT_EQ(found.size(), callers);
    EXPECT_GE(*std::min_element(found.begin(), found.end()), seconds{1});
    EXPECT_LE(*std::max_element(found.begin(), found.end()), max_outage_retry + milliseconds{spread_ms});
    EXPECT_GT(get_range(found), milliseconds{spread_ms * 3 / 4});
    EXPECT_GE(env.link.get_spread_refusals(), callers - 2);
}

TEST(leader_link, adds_no_spread_by_default) {
    link_test_environment env;
    env.leader.digest = make_digest();
    env.stop_leader_responses();
    const auto found = refuse_many(env, 20);
    ASSERT_EQ(found.size(), 20U);
    EXPECT_LT(get_range(found), max_range_without_spread);
    EXPECT_FALSE(env.link.get_digest_age().has_value());
    EXPECT_EQ(env.link.get_spread_refusals(), 0U);
}

TEST(leader_link, adds_no_spread_after_an_older_leader_that_sends_no_digest) {
    link_test_environment env(true);
    env.stop_leader_responses();
    const auto found = refuse_many(env, 20);
    ASSERT_EQ(found.size(), 20U);
    EXPECT_LE(*std::max_element(found.begin(), found.end()), max_outage_retry);
    EXPECT_LT(get_range(found), max_range_without_spread);
    EXPECT_FALSE(env.link.get_digest_age().has_value());
    EXPECT_EQ(env.link.get_spread_refusals(), 0U);
}

TEST(leader_link, adds_no_spread_once_the_validity_of_the_digest_has_passed) {
    link_test_environment env(true);
    env.leader.digest = make_digest(200);
    env.stop_leader_responses();
    const auto found = refuse_many(env, 20); // refused after `leader_wait`, which is longer
    ASSERT_EQ(found.size(), 20U);
    EXPECT_LE(*std::max_element(found.begin(), found.end()), max_outage_retry);
    EXPECT_EQ(env.link.get_spread_refusals(), 0U);
}

/// An entry instance cannot tell a repeated submission from a new one, so it refuses none for load.
TEST(leader_link, refuses_nothing_for_load_while_there_is_a_leader) {
    link_test_environment env(true);
    env.leader.digest = make_digest();
    env.wait_until_confirmation_expires();
    const auto outcome = env.relay("POST");
    EXPECT_EQ(outcome.result, relay_outcome::kind::answered);
    EXPECT_EQ(outcome.retry_after, duration{0});
}

/// A request that may have been carried out gets the outcome `unknown`, and a read that was sent may be
/// repeated at once. Neither was refused for want of a leader.
TEST(leader_link, adds_no_spread_to_requests_that_were_sent) {
    for (const auto* method : {"POST", "GET"}) {
        link_test_environment env(true);
        env.leader.digest = make_digest();
        env.wait_until_confirmation_expires();
        env.leader.stops_at_first_request = true;
        const auto outcome = env.relay(method);
        EXPECT_EQ(env.leader.received_targets.size(), 1U) << method;
        EXPECT_NE(outcome.result, relay_outcome::kind::never_sent) << method;
        EXPECT_LE(outcome.retry_after, max_outage_retry) << method;
        EXPECT_EQ(env.link.get_spread_refusals(), 0U) << method;
    }
}

TEST(leader_link, rejects_at_once_also_where_returns_are_spread) {
    link_test_environment env(true);
    env.leader.digest = make_digest();
    env.stop_leader_responses();
    while (env.link.is_connected()) {
        env.run_for(milliseconds{50});
    }
    env.run_for(leader_wait * 2);
    const auto started_at = env.loop.now();
    EXPECT_EQ(env.relay("POST").result, relay_outcome::kind::never_sent);
    EXPECT_LT(env.loop.now() - started_at, leader_wait / 2);
}

} // namespace
} // namespace poplarpitch
