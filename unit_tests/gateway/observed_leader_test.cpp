// An entry instance that follows the leader through another instance: it finds a new leader, and notices that
// the leader or the observer is gone.
#include "poplarpitch/gateway/leader_link.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/replica/node_address.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration leader_wait = milliseconds{1200};
constexpr duration test_timeout = seconds{20};
constexpr const char* first_host = "127.0.0.1";
constexpr const char* second_host = "127.0.0.2";

node_id get_node(const char* host) {
    return make_node_id(parse_ip(host).value_or(0), 1);
}

/// A control instance on a real connection that says what the test sets.
class fake_instance {
public:
    fake_instance(event_loop& loop, const char* host, int at_port)
        : m_host(host), m_listener(loop, host, at_port,
                                   [this](const std::shared_ptr<frame_socket>& socket) { serve(socket); }) {
        port = m_listener.start();
    }

    /// Sends the status to all who want to know of changes.
    void report_change() {
        for (const auto& socket : m_watchers) {
            send_status(*socket);
        }
    }
    /// Ends all connections, as a process that is killed.
    void end_connections() {
        for (const auto& socket : std::exchange(m_sockets, {})) {
            socket->close();
        }
        m_watchers.clear();
    }

    int port = 0;
    bool leads = false;
    bool is_responsive = true;
    const char* known_leader = nullptr;
    std::int64_t leader_age_ms = 0;
    int requests = 0; ///< for the status

private:
    void serve(const std::shared_ptr<frame_socket>& socket) {
        const std::weak_ptr<frame_socket> weak = socket;
        m_sockets.push_back(socket);
        socket->start(
            [this, weak](const std::string& bytes) {
                if (const auto open = weak.lock(); open != nullptr) {
                    answer(open, bytes);
                }
            },
            [] {});
    }

    void answer(const std::shared_ptr<frame_socket>& socket, const std::string& bytes) {
        job_wire::cluster_frame frame;
        ASSERT_TRUE(frame.ParseFromString(bytes));
        if (!is_responsive) {
            return;
        }
        if (frame.has_request()) {
            job_wire::cluster_frame reply;
            reply.mutable_answer()->set_number(frame.request().number());
            reply.mutable_answer()->set_taken(leads);
            reply.mutable_answer()->set_status(200);
            socket->send(reply.SerializeAsString());
            return;
        }
        ++requests;
        if (frame.ask_status().wants_changes()) {
            m_watchers.push_back(socket);
        }
        send_status(*socket);
    }

    void send_status(frame_socket& socket) const {
        job_wire::cluster_frame reply;
        auto& status = *reply.mutable_status()->mutable_status();
        status.set_node(get_node(m_host));
        status.set_leads(leads);
        status.set_wants_followers_asked(leads);
        status.set_leader_age_ms(leader_age_ms);
        status.set_leader(leads ? get_node(m_host) : known_leader == nullptr ? 0 : get_node(known_leader));
        for (const auto* host : {first_host, second_host}) {
            status.mutable_members()->add_voters(get_node(host));
        }
        socket.send(reply.SerializeAsString());
    }

    const char* m_host;
    frame_listener m_listener;
    std::vector<std::shared_ptr<frame_socket>> m_sockets;
    std::vector<std::shared_ptr<frame_socket>> m_watchers;
};

/// An entry instance's link to two control instances, of which the first leads.
class observed_leader : public testing::Test {
protected:
    observed_leader()
        : first(loop, first_host, 0), second(loop, second_host, first.port),
          link(loop, {first_host}, first.port, leader_wait, false, 1) {
        first.leads = true;
        second.known_leader = first_host;
        link.start();
        loop.call_after(test_timeout, [this] {
            ADD_FAILURE() << "the test did not end within its time limit";
            loop.stop();
        });
        while (!link.is_connected() || second.requests == 0) {
            run_for(milliseconds{20});
        }
    }

    void run_for(duration length) {
        loop.call_after(length, [this] { loop.stop(); });
        loop.get_context().restart();
        loop.run();
    }

    /// Sends a change, runs until it ends, and returns its outcome.
    relay_outcome relay() {
        std::optional<relay_outcome> found;
        job_wire::relay_request request;
        request.set_method("POST");
        request.set_target("/queue/1");
        link.relay(std::move(request), loop.now(), loop.now() + 2 * leader_wait,
                   [&](const relay_outcome& outcome) {
                       found = outcome;
                       loop.stop();
                   });
        loop.get_context().restart();
        loop.run();
        return found.value_or(relay_outcome{});
    }

    event_loop loop;
    fake_instance first;
    fake_instance second;
    leader_link link;
};

TEST_F(observed_leader, is_asked_seldom_while_a_follower_hears_it) {
    run_for(milliseconds{500});
    const auto before = first.requests;
    const auto observed_before = second.requests;
    run_for(seconds{3});
    EXPECT_LE(first.requests - before, 3) << "two in 3 s show whether the path to it works";
    EXPECT_GE(second.requests - observed_before, 5);
    EXPECT_TRUE(link.is_connected());
    EXPECT_EQ(relay().result, relay_outcome::kind::answered);
}

// Guards against an entry instance that stays connected to a leader whom only its observer still reaches.
TEST_F(observed_leader, counts_as_lost_when_it_no_longer_answers_itself) {
    first.is_responsive = false;
    run_for(milliseconds{100}); // its last answer no longer allows a change to be sent
    EXPECT_EQ(relay().result, relay_outcome::kind::never_sent);
    run_for(milliseconds{1500});
    EXPECT_FALSE(link.is_connected());
    first.is_responsive = true;
    while (!link.is_connected()) {
        run_for(milliseconds{50});
    }
}

TEST_F(observed_leader, is_replaced_as_soon_as_the_observer_reports_another) {
    first.leads = false;
    first.is_responsive = false;
    second.leads = true;
    second.report_change();
    run_for(milliseconds{100});
    EXPECT_EQ(relay().result, relay_outcome::kind::answered);
    EXPECT_TRUE(link.is_connected());
}

// Guards against a status that makes a leader count as heard in the future, which never ages.
TEST_F(observed_leader, is_not_taken_as_heard_at_a_negative_age) {
    second.leader_age_ms = -3'600'000;
    run_for(seconds{1});
    const auto before = first.requests;
    run_for(seconds{3});
    EXPECT_GE(first.requests - before, 5) << "it is asked itself again";
}

TEST_F(observed_leader, is_asked_itself_when_the_observer_is_lost) {
    second.is_responsive = false;
    second.end_connections();
    run_for(seconds{2});
    const auto before = first.requests;
    run_for(seconds{3});
    EXPECT_TRUE(link.is_connected());
    EXPECT_GE(first.requests - before, 5);
}

} // namespace
} // namespace poplarpitch
