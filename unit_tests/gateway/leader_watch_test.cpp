// Whom an entry instance asks about the leader, and how the leader's load grows with the number of entry
// instances.
#include "poplarpitch/gateway/leader_watch.h"

#include "poplarpitch/core/hash.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::uint32_t leader = 1;
const std::set<std::uint32_t> instances{1, 2, 3, 4, 5};
const time_point start{seconds{100}};
constexpr duration poll_interval = milliseconds{350};

leader_watch make_watch(int number) {
    return leader_watch(hash_bytes("front-" + std::to_string(number)));
}

TEST(leader_watch, asks_the_leader_itself_unless_it_wants_followers_asked) {
    auto watch = make_watch(1);
    watch.on_leader_status(leader, false, instances);
    EXPECT_EQ(watch.get_observer(), 0U);
    EXPECT_TRUE(watch.must_ask_leader(leader, start));
    watch.on_leader_status(leader, true, instances);
    EXPECT_NE(watch.get_observer(), 0U);
    EXPECT_NE(watch.get_observer(), leader);
    watch.on_leader_status(leader, false, instances);
    EXPECT_EQ(watch.get_observer(), 0U);
}

TEST(leader_watch, asks_the_leader_again_when_its_observer_no_longer_hears_it) {
    auto watch = make_watch(1);
    watch.on_leader_status(leader, true, instances);
    watch.on_leader_asked(start);
    watch.on_observer_status(leader, milliseconds{90}, start);
    EXPECT_FALSE(watch.must_ask_leader(leader, start));
    watch.on_observer_status(leader, milliseconds{600}, start);
    EXPECT_TRUE(watch.must_ask_leader(leader, start));
    watch.on_observer_status(0, duration{0}, start);
    EXPECT_TRUE(watch.must_ask_leader(leader, start));
}

// Guards against an entry instance that takes what an observer says of another leader for a sign of life of
// its own.
TEST(leader_watch, does_not_count_another_leader_as_heard) {
    auto watch = make_watch(1);
    watch.on_leader_status(leader, true, instances);
    watch.on_observer_status(3, milliseconds{10}, start);
    EXPECT_EQ(watch.get_heard_at(leader), time_point{});
    EXPECT_EQ(watch.get_heard_at(0), time_point{});
}

TEST(leader_watch, chooses_another_observer_when_the_connection_to_one_ends) {
    auto watch = make_watch(1);
    watch.on_leader_status(leader, true, instances);
    const auto first = watch.get_observer();
    watch.on_observer_lost();
    EXPECT_TRUE(watch.must_ask_all(duration{0}));
    watch.on_leader_status(leader, true, instances);
    EXPECT_NE(watch.get_observer(), 0U);
    EXPECT_NE(watch.get_observer(), first);
}

TEST(leader_watch, asks_all_instances_when_the_observer_reports_no_new_leader_in_time) {
    auto watch = make_watch(1);
    watch.on_leader_status(leader, true, instances);
    EXPECT_FALSE(watch.must_ask_all(milliseconds{300}));
    EXPECT_TRUE(watch.must_ask_all(seconds{1}));
}

/// The requests that entry instances send in ten seconds.
struct request_counts {
    int at_leader = 0;
    std::map<std::uint32_t, int> at_observers;
};

request_counts count_requests(int entries, bool wants_followers_asked) {
    request_counts counts;
    for (int number = 0; number < entries; ++number) {
        auto watch = make_watch(number);
        watch.on_leader_status(leader, wants_followers_asked, instances);
        for (auto now = start; now < start + seconds{10}; now += poll_interval) {
            if (watch.get_observer() != 0) {
                ++counts.at_observers[watch.get_observer()];
                watch.on_observer_status(leader, milliseconds{50}, now);
            }
            if (watch.must_ask_leader(leader, now)) {
                ++counts.at_leader;
                watch.on_leader_asked(now);
            }
        }
    }
    return counts;
}

// Guards against a leader whose work follows the number of entry instances: at four times as many it has
// less to answer than before.
TEST(leader_watch, leaves_the_leader_less_work_at_four_times_as_many_entry_instances) {
    constexpr int entries = 150;
    const auto direct = count_requests(entries, false);
    const auto observed = count_requests(4 * entries, true);
    EXPECT_LT(observed.at_leader, direct.at_leader);
}

TEST(leader_watch, spreads_the_entry_instances_over_all_followers) {
    constexpr int entries = 600;
    const auto counts = count_requests(entries, true);
    ASSERT_EQ(counts.at_observers.size(), instances.size() - 1);
    int total = 0;
    int most = 0;
    for (const auto& [observer, count] : counts.at_observers) {
        total += count;
        most = std::max(most, count);
    }
    EXPECT_LT(most * static_cast<int>(counts.at_observers.size()), total * 5 / 4);
}

} // namespace
} // namespace poplarpitch
