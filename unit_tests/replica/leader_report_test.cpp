// What an instance tells those who follow the leader through it, and when a leader asks for that.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/replica/replica.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/replica/free_port.h"
#include "unit_tests/support/temporary_folder.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t memory_limit = 64U << 20;

constexpr duration test_timeout = seconds{20};
constexpr duration poll_interval = milliseconds{2};

/// A cluster of one instance, and connections to it.
class leader_report : public testing::Test {
protected:
    leader_report() {
        replica_handler handler;
        handler.on_command = [](const log_entry& /*entry*/) {
        };
        handler.on_save = [] {
            return std::string{};
        };
        handler.on_load = [](const std::string& /*bytes*/) {
        };
        handler.on_leading = [this](log_term /*term*/) {
            is_leading = true;
        };
        handler.on_leading_lost = [] {
        };
        replica_settings settings;
        settings.data_folder = m_folder.get_path();
        settings.data_centre = "hall";
        settings.seeds = {settings.host};
        settings.may_found = true;
        settings.port = find_free_port(loop);
        m_address = settings.host + ":" + std::to_string(settings.port);
        m_log = std::make_unique<replica>(loop, m_memory, settings, std::move(handler));
        EXPECT_TRUE(m_log->start());
        loop.call_after(test_timeout, [this] {
            ADD_FAILURE() << "the test did not end within its time limit";
            is_timed_out = true;
        });
    }

    void TearDown() override {
        for (const auto& socket : m_sockets) {
            socket->close();
        }
    }

    void run_for(duration length) {
        loop.call_after(length, [this] { loop.stop(); });
        loop.get_context().restart();
        loop.run();
    }

    template <class Condition>
    void run_until(Condition is_met) {
        while (!is_met() && !is_timed_out) {
            run_for(poll_interval);
        }
    }

    /// Opens a connection, whose received statuses are appended to `statuses`.
    std::shared_ptr<frame_socket> connect() {
        std::shared_ptr<frame_socket> opened;
        connect_frame_socket(loop, m_address, seconds{1},
                             [&](const std::shared_ptr<frame_socket>& socket) { opened = socket; });
        run_until([&] { return opened != nullptr; });
        opened->start(
            [this](const std::string& bytes) {
                job_wire::cluster_frame frame;
                ASSERT_TRUE(frame.ParseFromString(bytes));
                statuses.push_back(frame.status().status());
            },
            [] {});
        m_sockets.push_back(opened);
        return opened;
    }

    static void ask(frame_socket& socket, bool wants_changes) {
        job_wire::cluster_frame frame;
        frame.mutable_ask_status()->set_wants_changes(wants_changes);
        socket.send(frame.SerializeAsString());
    }

    /// Asks for the status and returns the answer.
    job_wire::cluster_status get_status(frame_socket& socket) {
        const auto count = statuses.size();
        ask(socket, false);
        run_until([&] { return statuses.size() > count; });
        return statuses.back();
    }

    memory_budget m_memory{memory_limit};
    event_loop loop;
    std::vector<job_wire::cluster_status> statuses;
    bool is_leading = false;
    bool is_timed_out = false;

private:
    temporary_folder m_folder;
    std::string m_address;
    std::unique_ptr<replica> m_log;
    std::vector<std::shared_ptr<frame_socket>> m_sockets;
};

TEST_F(leader_report, is_sent_unasked_to_those_that_want_changes) {
    const auto socket = connect();
    ask(*socket, true);
    run_until([&] { return is_leading && !statuses.empty() && statuses.back().leads(); });
    EXPECT_EQ(statuses.size(), 2U) << "the answer, and the report of the leader";
    EXPECT_EQ(statuses.back().leader(), statuses.back().node());
    EXPECT_EQ(statuses.back().data_centre(), "hall");
}

TEST_F(leader_report, is_not_sent_to_those_that_asked_only_once) {
    const auto socket = connect();
    ask(*socket, false);
    run_until([&] { return is_leading; });
    run_for(milliseconds{300});
    EXPECT_EQ(statuses.size(), 1U);
}

// Guards against a leader whose status requests grow with the entry instances.
TEST_F(leader_report, wants_followers_asked_once_it_has_many_connections) {
    constexpr int max_direct_connections = 200;
    run_until([&] { return is_leading; });
    const auto first = connect();
    EXPECT_FALSE(get_status(*first).wants_followers_asked());
    for (int number = 1; number <= max_direct_connections; ++number) {
        connect();
    }
    EXPECT_TRUE(get_status(*first).wants_followers_asked());
}

} // namespace
} // namespace poplarpitch
