// Commands that became pending while a batch was in flight, and commands that cannot be parsed.
#include "poplarpitch/scheduler/command_batcher.h"

#include "poplarpitch/consensus/log_entry.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/replica/replica.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/support/temporary_folder.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration test_timeout = seconds{60}; // reached only when the test fails
constexpr std::size_t small_batch = 1U << 10;  // bytes
constexpr std::size_t large_batch = 1U << 20;  // bytes
constexpr std::size_t payload_bytes = 3U << 10;

job_wire::job_command make_submit(std::uint64_t id) {
    job_wire::job_command command;
    auto& job = *command.mutable_submit()->mutable_job();
    job.set_id(id);
    job.set_payload(std::string(payload_bytes, 'x'));
    return command;
}

/// A replica of one instance with a batcher and a job state. `on_leading` adds the commands to commit.
class single_instance {
public:
    /// `batch_bytes` limits a batch, and the log accepts eight times as much.
    explicit single_instance(std::size_t batch_bytes)
        : m_log(m_loop, m_memory, make_settings(m_folder.get_path(), 8 * batch_bytes), make_handler()),
          m_batcher(m_loop, m_log, m_job_state, batch_bytes) {
        m_loop.on_iteration_end([this] { m_batcher.flush(); });
    }

    /// Commits the commands and returns their results, in the order in which they come. A stalled machine may
    /// lose the lead; the commands are then added again.
    std::vector<commit_result> commit(std::vector<job_wire::job_command> commands) {
        m_commands = std::move(commands);
        EXPECT_TRUE(m_log.start());
        m_loop.call_after(test_timeout, [this] { m_loop.stop(); });
        m_loop.run();
        return m_outcome;
    }

    [[nodiscard]] const job_state_machine& get_job_state() const { return m_job_state; }

private:
    static replica_settings make_settings(const std::string& folder, std::size_t uncommitted) {
        replica_settings settings;
        settings.data_folder = folder;
        settings.seeds = {settings.host};
        settings.may_found = true;
        settings.raft.max_uncommitted_bytes = uncommitted;
        return settings;
    }

    replica_handler make_handler() {
        replica_handler handler;
        handler.on_command = [this](const log_entry& entry) {
            std::vector<job_state_event> events;
            m_batcher.apply(entry, events);
        };
        handler.on_save = [this] {
            return m_job_state.save();
        };
        handler.on_load = [](const std::string& /*bytes*/) {
        };
        handler.on_leading_lost = [this] {
            ++m_lost_leads;
            m_batcher.drop_pending();
            m_results.clear();
        };
        handler.on_leading = [this](log_term /*term*/) {
            for (const auto& command : m_commands) {
                m_batcher.add(command,
                              [this, at = m_lost_leads](commit_result result) { record(at, result); });
            }
        };
        return handler;
    }

    void record(int lead, commit_result result) {
        if (lead != m_lost_leads) {
            return;
        }
        m_results.push_back(result);
        if (m_results.size() == m_commands.size()) {
            m_outcome = m_results;
            m_loop.stop();
        }
    }

    temporary_folder m_folder;
    memory_budget m_memory{64U << 20};
    event_loop m_loop;
    job_state_machine m_job_state;
    std::vector<job_wire::job_command> m_commands;
    std::vector<commit_result> m_results; ///< in the present lead
    std::vector<commit_result> m_outcome;
    int m_lost_leads = 0;
    replica m_log;
    command_batcher m_batcher;
};

TEST(command_batcher, loses_no_command_where_more_is_pending_than_the_log_accepts_at_once) {
    single_instance instance(small_batch);
    std::vector<job_wire::job_command> commands;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        commands.push_back(make_submit(number));
    }
    EXPECT_EQ(instance.commit(commands), std::vector<commit_result>(4, commit_result::applied));
}

// One command with bytes that are not UTF-8 took the other commands of its batch with it.
TEST(command_batcher, refuses_only_the_command_that_could_not_be_parsed_in_the_log) {
    single_instance instance(large_batch);
    job_wire::job_command unreadable;
    unreadable.mutable_retire()->set_worker("i-7f\xe9\xff");
    job_wire::job_command readable;
    readable.mutable_retire()->set_worker("i-7f");
    const auto results = instance.commit({readable, unreadable, make_submit(7), unreadable});
    const std::vector<commit_result> expected{commit_result::unreadable, commit_result::unreadable,
                                              commit_result::applied, commit_result::applied};
    EXPECT_EQ(results, expected);
    EXPECT_NE(instance.get_job_state().find_job(7), nullptr);
    EXPECT_TRUE(instance.get_job_state().is_retired({"i-7f", 0}));
}

// A batch of an earlier release may be unreadable; the leader must hear of it, since it counts on its
// commands.
TEST(command_batcher, reports_a_committed_batch_that_cannot_be_parsed) {
    const temporary_folder folder;
    event_loop loop;
    job_state_machine job_state;
    replica_settings settings;
    settings.data_folder = folder.get_path();
    memory_budget memory(64U << 20);
    replica log(loop, memory, settings, {});
    command_batcher batcher(loop, log, job_state);
    job_wire::job_command_batch batch;
    *batch.add_commands() = make_submit(7);
    batch.add_commands()->mutable_retire()->set_worker("i-7f\xe9\xff");
    std::vector<job_state_event> events;
    EXPECT_FALSE(batcher.apply({1, 1, entry_kind::command, batch.SerializeAsString()}, events));
    EXPECT_EQ(job_state.find_job(7), nullptr); // as instances of earlier releases, which skip the whole batch
    EXPECT_TRUE(events.empty());
}

} // namespace
} // namespace poplarpitch
