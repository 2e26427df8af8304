// What an entry instance does with requests while the leader dies, is away, or comes back.
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
constexpr duration longest_test = seconds{20};

/// A control instance that leads for as long as the test wants, on a real connection.
class pretended_leader {
public:
    explicit pretended_leader(event_loop& loop)
        : m_listener(loop, "127.0.0.1", 0,
                     [this](std::shared_ptr<frame_socket> socket) { serve(std::move(socket)); }) {
        port = m_listener.start();
    }

    int port = 0;
    bool dies_with_request = false;
    std::uint32_t status = 200;
    bool is_alive = true;           ///< false: the connection stays, nothing is answered
    std::vector<std::string> taken; ///< targets of the requests that arrived, alive or not

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
            taken.push_back(frame.request().target());
            if (dies_with_request && taken.size() == 1) {
                is_alive = false;
            }
        }
        if (!is_alive) {
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

/// A link to a pretended leader, on one loop.
class link_world {
public:
    link_world() : leader(loop), link(loop, {"127.0.0.1"}, leader.port, leader_wait) {
        link.start();
        loop.call_after(longest_test, [this] {
            ADD_FAILURE() << "the test did not end";
            loop.stop();
        });
    }

    /// Runs until the link has found the leader and has heard nothing of it for longer than a sign of life
    /// counts.
    void wait_until_quiet() {
        wait_for_connection();
        run();
    }

    /// Lets the leader die without a sign, while its connection looks as before.
    void lose_leader() {
        wait_until_quiet();
        leader.is_alive = false;
    }

    /// Lets time pass.
    void pass(duration length) {
        loop.call_after(length, [this] { loop.stop(); });
        run();
    }

    /// Sends a request and runs until its outcome.
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
    pretended_leader leader;
    leader_link link;

private:
    /// Runs until the loop is stopped; it may be run again after that.
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
    link_world world;
    world.wait_until_quiet();
    const auto outcome = world.relay("POST");
    EXPECT_EQ(outcome.what, relay_outcome::kind::answered);
    EXPECT_EQ(outcome.status, 200);
}

/// Load pattern: all control instances lose power at once; the connection looks as before for a second.
TEST(leader_link, sends_no_change_to_a_leader_that_has_just_died_and_says_so) {
    link_world world;
    world.lose_leader();
    const auto outcome = world.relay("POST");
    EXPECT_EQ(outcome.what, relay_outcome::kind::never_sent);
    EXPECT_TRUE(world.leader.taken.empty()); // so "not accepted" is true
    EXPECT_GE(outcome.retry_after, seconds{1});
}

TEST(leader_link, takes_no_refusal_of_a_second_copy_for_what_became_of_the_first) {
    link_world world;
    world.wait_until_quiet();
    world.leader.dies_with_request = true;
    world.leader.status = 429;
    world.loop.call_after(milliseconds{1080}, [&world] { world.leader.is_alive = true; });
    const auto outcome = world.relay("POST");
    EXPECT_EQ(world.leader.taken.size(), 2U);
    EXPECT_EQ(outcome.what, relay_outcome::kind::unknown) << outcome.status;
}

TEST(leader_link, asks_a_silent_leader_for_a_state_all_the_same) {
    link_world world;
    world.lose_leader();
    const auto outcome = world.relay("GET");
    EXPECT_EQ(outcome.what, relay_outcome::kind::not_read); // whether it arrived makes no difference
    EXPECT_GE(outcome.retry_after, seconds{1});
    EXPECT_EQ(world.leader.taken.size(), 1U);
}

/// Load pattern: all control instances lose power for seconds while callers ask for their jobs' states. Each
/// was told 504 at its deadline, which a caller has to take for a request that may have been carried out.
TEST(leader_link, tells_who_asked_for_a_state_before_the_deadline_once_the_leader_is_known_to_be_gone) {
    link_world world;
    world.lose_leader();
    const auto began = world.loop.now();
    const auto outcome = world.relay("GET");
    EXPECT_EQ(outcome.what, relay_outcome::kind::not_read);
    EXPECT_LT(world.loop.now() - began, deadline);
}

/// Load pattern: all control instances lose power for 5 s. Every caller waited 1.2 s for a leader that an
/// election could not bring any more, and was sent away then.
TEST(leader_link, sends_callers_away_at_once_when_no_election_can_still_be_going_on) {
    link_world world;
    world.lose_leader();
    EXPECT_EQ(world.relay("POST").what, relay_outcome::kind::never_sent);
    while (world.link.is_connected()) {
        world.pass(milliseconds{50});
    }
    world.pass(leader_wait * 2);
    const auto began = world.loop.now();
    const auto outcome = world.relay("POST");
    EXPECT_EQ(outcome.what, relay_outcome::kind::never_sent);
    EXPECT_LT(world.loop.now() - began, leader_wait / 2);
    EXPECT_GE(outcome.retry_after, seconds{1});
    world.leader.is_alive = true;
    while (!world.link.is_connected()) {
        world.pass(milliseconds{50});
    }
    EXPECT_EQ(world.relay("POST").what, relay_outcome::kind::answered)
        << "and goes on once there is one again";
}

TEST(leader_link, tells_callers_to_stay_away_longer_the_longer_no_leader_is_there) {
    link_world world;
    world.lose_leader();
    duration last{};
    for (int request = 0; request < 8; ++request) {
        const auto outcome = world.relay("POST");
        EXPECT_EQ(outcome.what, relay_outcome::kind::never_sent);
        EXPECT_GE(outcome.retry_after, last);
        last = outcome.retry_after;
        world.pass(leader_wait);
    }
    EXPECT_GT(last, seconds{2});
    EXPECT_LE(last, seconds{5});
}

} // namespace
} // namespace poplarpitch
