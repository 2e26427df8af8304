// Commands that became pending while a batch was in flight.
#include "poplarpitch/scheduler/command_batcher.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/replica/replica.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration test_timeout = seconds{60};          // reached only when the test fails
constexpr std::size_t max_uncommitted_bytes = 8U << 10; // limit of the log
constexpr std::size_t max_bytes = 1U << 10;             // of a batch
constexpr std::size_t payload_bytes = 3U << 10;

/// A temporary folder, removed with the object.
class temporary_folder {
public:
    temporary_folder() : m_path(testing::TempDir() + "command_batcher_" + std::to_string(::getpid())) {
        std::filesystem::create_directories(m_path);
    }
    ~temporary_folder() { std::filesystem::remove_all(m_path); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    [[nodiscard]] const std::string& get_path() const { return m_path; }

private:
    std::string m_path;
};

job_wire::job_command make_submit(std::uint64_t id) {
    job_wire::job_command command;
    auto& job = *command.mutable_submit()->mutable_job();
    job.set_id(id);
    job.set_payload(std::string(payload_bytes, 'x'));
    return command;
}

TEST(command_batcher, loses_no_command_where_more_is_pending_than_the_log_accepts_at_once) {
    const temporary_folder folder;
    event_loop loop;
    job_state_machine job_state;
    replica_settings settings;
    settings.data_folder = folder.get_path();
    settings.seeds = {settings.host};
    settings.may_found = true;
    settings.raft.max_uncommitted_bytes = max_uncommitted_bytes;
    std::vector<commit_result> results; // in the present term of leadership
    std::vector<commit_result> outcome;
    command_batcher* batcher = nullptr;
    replica_handler handler;
    handler.on_command = [&](const log_entry& entry) {
        std::vector<job_state_event> events;
        batcher->apply(entry, events);
    };
    handler.on_save = [&] {
        return job_state.save();
    };
    handler.on_load = [](const std::string& /*bytes*/) {
    };
    int leaderships = 0; // counts lost leaderships; a stalled machine may cause one
    handler.on_leading_lost = [&] {
        ++leaderships;
        batcher->drop_pending();
        results.clear();
    };
    constexpr std::size_t count = 4;
    handler.on_leading = [&](log_term /*term*/) {
        for (std::size_t number = 1; number <= count; ++number) {
            batcher->add(make_submit(number), [&, at = leaderships](commit_result commit) {
                if (at != leaderships) {
                    return;
                }
                results.push_back(commit);
                if (results.size() == count) {
                    outcome = results;
                    loop.stop();
                }
            });
        }
    };
    replica log(loop, settings, std::move(handler));
    command_batcher own_batcher(loop, log, job_state, max_bytes);
    batcher = &own_batcher;
    loop.on_iteration_end([&] { own_batcher.flush(); });
    ASSERT_TRUE(log.start());
    loop.call_after(test_timeout, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(outcome, std::vector<commit_result>(count, commit_result::applied));
}

} // namespace
} // namespace poplarpitch
