// The load digest in the status of a leader.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/replica/load_digest_writer.h"
#include "poplarpitch/replica/replica.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/replica/free_port.h"
#include "unit_tests/support/temporary_folder.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t memory_limit = 64U << 20;

constexpr duration test_timeout = seconds{20};

job_wire::load_digest write(load_digest_writer& writer, log_term term, const leader_figures& figures) {
    job_wire::load_digest digest;
    writer.write(term, figures, digest);
    return digest;
}

TEST(load_digest_writer, writes_the_figures_of_the_leader) {
    load_digest_writer writer;
    const auto digest = write(writer, 4, {milliseconds{2500}, 31});
    EXPECT_EQ(digest.term(), 4U);
    EXPECT_EQ(digest.return_spread_ms(), 2500);
    EXPECT_EQ(digest.open_jobs(), 31U);
    EXPECT_EQ(digest.validity_ms(), to_milliseconds(load_digest_writer::validity));
}

TEST(load_digest_writer, raises_the_version_within_a_term) {
    load_digest_writer writer;
    const auto first = write(writer, 4, {}).version();
    EXPECT_GT(first, 0U);
    EXPECT_GT(write(writer, 4, {}).version(), first);
    EXPECT_EQ(write(writer, 5, {}).version(), first);
}

TEST(load_digest_writer, bounds_the_spread) {
    load_digest_writer writer;
    EXPECT_EQ(write(writer, 4, {seconds{3600}, 0}).return_spread_ms(), 10'000);
    EXPECT_EQ(write(writer, 4, {duration{0}, 0}).return_spread_ms(), 0);
    EXPECT_EQ(write(writer, 4, {-seconds{1}, 0}).return_spread_ms(), 0);
}

/// A cluster of one instance, asked for its status over a real connection.
class status_test_environment {
public:
    explicit status_test_environment(replica_handler handler) {
        handler.on_command = [](const log_entry& /*entry*/) {
        };
        handler.on_save = [] {
            return std::string{};
        };
        handler.on_load = [](const std::string& /*bytes*/) {
        };
        handler.on_leading = [this](log_term term) {
            led_term = term;
        };
        handler.on_leading_lost = [this] {
            led_term = 0;
        };
        replica_settings settings;
        settings.data_folder = m_folder.get_path();
        settings.seeds = {settings.host};
        settings.may_found = true;
        settings.port = find_free_port(m_loop);
        m_address = settings.host + ":" + std::to_string(settings.port);
        m_log = std::make_unique<replica>(m_loop, m_memory, settings, std::move(handler));
    }

    /// Runs until two statuses of a leader have arrived, or the time limit has passed.
    void run() {
        ASSERT_TRUE(m_log->start());
        m_loop.call_after(test_timeout, [this] { m_loop.stop(); });
        connect_frame_socket(m_loop, m_address, seconds{1}, [this](std::shared_ptr<frame_socket> socket) {
            if (socket == nullptr) {
                m_loop.stop();
                return;
            }
            m_socket = std::move(socket);
            m_socket->start([this](const std::string& bytes) { take(bytes); }, [] {});
            ask();
        });
        m_loop.run();
    }

    std::vector<job_wire::cluster_status> statuses; ///< all that arrived
    log_term led_term = 0;

private:
    void ask() {
        job_wire::cluster_frame frame;
        frame.mutable_ask_status();
        m_socket->send(frame.SerializeAsString());
    }

    void take(const std::string& bytes) {
        job_wire::cluster_frame frame;
        ASSERT_TRUE(frame.ParseFromString(bytes));
        statuses.push_back(frame.status().status());
        m_leader_statuses += statuses.back().leads() ? 1 : 0;
        if (m_leader_statuses == 2) {
            m_loop.stop();
            return;
        }
        m_loop.call_after(milliseconds{20}, [this] { ask(); });
    }

    temporary_folder m_folder;
    memory_budget m_memory{memory_limit};
    event_loop m_loop;
    std::string m_address;
    std::unique_ptr<replica> m_log;
    std::shared_ptr<frame_socket> m_socket;
    int m_leader_statuses = 0;
};

TEST(replica_status, has_a_digest_only_while_the_instance_leads) {
    replica_handler handler;
    handler.get_figures = [] {
        return leader_figures{milliseconds{1200}, 5};
    };
    status_test_environment env(std::move(handler));
    env.run();
    std::uint64_t last_version = 0;
    for (const auto& status : env.statuses) {
        ASSERT_EQ(status.has_load(), status.leads());
        if (!status.leads()) {
            continue;
        }
        EXPECT_EQ(status.load().term(), env.led_term);
        EXPECT_GT(status.load().version(), last_version);
        EXPECT_EQ(status.load().return_spread_ms(), 1200);
        EXPECT_EQ(status.load().open_jobs(), 5U);
        last_version = status.load().version();
    }
    EXPECT_GT(last_version, 0U) << "no status of a leader arrived";
}

TEST(replica_status, has_no_digest_where_the_state_machine_states_no_figures) {
    status_test_environment env({});
    env.run();
    ASSERT_FALSE(env.statuses.empty());
    EXPECT_TRUE(env.statuses.back().leads());
    EXPECT_FALSE(env.statuses.back().has_load());
}

} // namespace
} // namespace poplarpitch
