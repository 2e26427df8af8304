#include "poplarpitch/entry/event_batcher.h"

#include <gtest/gtest.h>

#include <atomic>

namespace poplarpitch {
namespace {

constexpr duration forever = std::chrono::hours{1}; // tests trigger a batch by its size, never by time

/// Commits everything and records the number of events of each call.
class fake_control {
public:
    result<std::vector<wire::command_result>> propose_batch(const std::vector<wire::command>& commands,
                                                            time_point /*deadline*/) {
        if (gate != nullptr) {
            gate->WaitForNotification();
        }
        const absl::MutexLock lock(&m_mutex);
        m_calls.push_back(commands.size());
        if (m_is_unavailable) {
            return make_error_code(transport_errc::no_leader);
        }
        std::vector<wire::command_result> outcomes;
        for (const auto& command : commands) {
            outcomes.emplace_back().set_index(command.event().attempt());
        }
        return outcomes;
    }

    std::vector<std::size_t> get_calls() {
        const absl::MutexLock lock(&m_mutex);
        return m_calls;
    }

    absl::Notification* gate = nullptr; ///< calls wait for it; must be set before the first call

    void make_unavailable() {
        const absl::MutexLock lock(&m_mutex);
        m_is_unavailable = true;
    }

private:
    absl::Mutex m_mutex;
    std::vector<std::size_t> m_calls ABSL_GUARDED_BY(m_mutex);
    bool m_is_unavailable ABSL_GUARDED_BY(m_mutex) = false;
};

std::vector<wire::command> make_events(std::uint64_t first, int count) {
    std::vector<wire::command> events;
    for (int number = 0; number < count; ++number) {
        events.emplace_back().mutable_event()->set_attempt(first + static_cast<std::uint64_t>(number));
    }
    return events;
}

event_batcher_settings make_settings(std::size_t max_batch) {
    event_batcher_settings settings;
    settings.interval = forever;
    settings.max_batch = max_batch;
    return settings;
}

using batcher = event_batcher<fake_control>;

TEST(event_batcher, sends_the_first_at_once_and_gathers_the_rest) {
    fake_control control;
    batcher events(control, make_settings(5));
    EXPECT_TRUE(events.commit(make_events(1, 1))); // sent at once
    std::vector<std::uint64_t> indexes;
    absl::Notification last;
    const auto take = [&](const batcher::outcome& answer) {
        for (const auto& one : answer.value()) {
            indexes.push_back(one.index());
        }
    };
    events.post(make_events(10, 2), take);
    events.post(make_events(20, 1), take);
    events.post(make_events(30, 2), [&](const batcher::outcome& answer) {
        take(answer);
        last.Notify();
    });
    last.WaitForNotification();
    EXPECT_EQ(control.get_calls(), (std::vector<std::size_t>{1, 5}));
    EXPECT_EQ(indexes, (std::vector<std::uint64_t>{10, 11, 20, 30, 31})); // each group got its own results
}

TEST(event_batcher, finish_sends_what_waits_and_refuses_what_comes_later) {
    fake_control control;
    batcher events(control, make_settings(100));
    EXPECT_TRUE(events.commit(make_events(1, 1)));
    std::atomic<int> answered{0};
    events.post(make_events(2, 3), [&](const batcher::outcome& answer) { answered += answer ? 1 : 0; });
    events.finish();
    EXPECT_EQ(answered, 1);
    EXPECT_EQ(control.get_calls(), (std::vector<std::size_t>{1, 3}));
    EXPECT_FALSE(events.commit(make_events(9, 1)));
}

TEST(event_batcher, reports_the_error_to_every_group_when_control_is_unreachable) {
    fake_control control;
    control.make_unavailable();
    batcher events(control, make_settings(2));
    EXPECT_FALSE(events.commit(make_events(1, 1)));
    std::atomic<int> failed{0};
    const auto take = [&](const batcher::outcome& answer) {
        failed += answer ? 0 : 1;
    };
    events.post(make_events(2, 1), take);
    events.post(make_events(3, 1), take);
    events.finish();
    EXPECT_EQ(failed, 2);
}

TEST(event_batcher, is_bounded_without_control) {
    fake_control control;
    auto settings = make_settings(100);
    settings.max_queued = 3;
    batcher events(control, settings);
    EXPECT_TRUE(events.commit(make_events(1, 1)));
    int refused = 0;
    const auto take = [&](const batcher::outcome& answer) {
        refused += answer ? 0 : 1;
    };
    events.post(make_events(2, 3), take);
    events.post(make_events(5, 1), take); // refused on the calling thread because the queue is full
    EXPECT_EQ(refused, 1);
    events.finish();
    EXPECT_EQ(refused, 1);
}

TEST(event_batcher, caller_waits_no_longer_than_commit_wait) {
    absl::Notification gate;
    fake_control control;
    control.gate = &gate;
    auto settings = make_settings(100);
    settings.commit_wait = milliseconds{1};
    batcher events(control, settings);
    EXPECT_EQ(events.commit(make_events(1, 1)).error(), make_error_code(transport_errc::timed_out));
    gate.Notify();
    events.finish();
    EXPECT_EQ(control.get_calls(), (std::vector<std::size_t>{1})); // it was committed nevertheless
}

} // namespace
} // namespace poplarpitch
