// Whether every member of the log knows a format of commands, so that the leader may propose one of them.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/replica/replica.h"
#include "unit_tests/replica/free_port.h"
#include "unit_tests/support/temporary_folder.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t memory_limit = 64U << 20;

constexpr duration test_timeout = seconds{30};
constexpr duration settled_time = seconds{1}; // ten heartbeats of the leader

/// A cluster of instances on one event loop, each of which knows commands of its own format.
class cluster {
public:
    explicit cluster(const std::vector<std::uint32_t>& formats) {
        for (std::size_t number = 0; number < formats.size(); ++number) {
            m_hosts.push_back("127.0.0." + std::to_string(first_host + number));
        }
        const auto port = find_free_port(m_loop, m_hosts.front());
        for (std::size_t number = 0; number < formats.size(); ++number) {
            replica_settings settings;
            settings.host = m_hosts[number];
            settings.port = port;
            settings.seeds = m_hosts;
            settings.may_found = true;
            settings.voters = formats.size();
            settings.data_folder = m_folders[number].get_path();
            m_replicas.push_back(
                std::make_unique<replica>(m_loop, m_memory, settings, make_handler(formats[number])));
            EXPECT_TRUE(m_replicas.back()->start());
        }
    }

    /// Runs until an instance leads and has heard of the others. Returns it.
    const replica& wait_for_leader() {
        const auto end = m_loop.now() + test_timeout;
        while (find_leader() == nullptr && m_loop.now() < end) {
            run_for(milliseconds{20});
        }
        run_for(settled_time);
        const auto* leader = find_leader();
        EXPECT_NE(leader, nullptr);
        return leader == nullptr ? *m_replicas.front() : *leader;
    }

private:
    static constexpr int first_host = 41;

    static replica_handler make_handler(std::uint32_t command_format) {
        replica_handler handler;
        handler.command_format = command_format;
        handler.on_command = [](const log_entry& /*entry*/) {
        };
        handler.on_save = [] {
            return std::string{};
        };
        handler.on_load = [](const std::string& /*bytes*/) {
        };
        handler.on_leading = [](log_term /*term*/) {
        };
        handler.on_leading_lost = [] {
        };
        return handler;
    }

    [[nodiscard]] const replica* find_leader() const {
        const auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
                                        [](const auto& item) { return item->is_leading(); });
        return found == m_replicas.end() ? nullptr : found->get();
    }

    void run_for(duration length) {
        m_loop.call_after(length, [this] { m_loop.stop(); });
        m_loop.get_context().restart();
        m_loop.run();
    }

    memory_budget m_memory{memory_limit};
    event_loop m_loop;
    temporary_folder m_folders[3];
    std::vector<std::string> m_hosts;
    std::vector<std::unique_ptr<replica>> m_replicas;
};

TEST(command_format, is_known_to_all_members_that_tell_it) {
    cluster instances({1, 1, 1});
    const auto& leader = instances.wait_for_leader();
    EXPECT_TRUE(leader.do_all_members_know(1));
    EXPECT_FALSE(leader.do_all_members_know(2));
}

// An instance of an earlier release skips the command, and the replicas differ from then on.
TEST(command_format, is_not_known_to_all_members_while_one_of_an_earlier_release_votes) {
    cluster instances({1, 0, 1});
    const auto& leader = instances.wait_for_leader();
    EXPECT_FALSE(leader.do_all_members_know(1));
    EXPECT_TRUE(leader.do_all_members_know(0));
}

} // namespace
} // namespace poplarpitch
