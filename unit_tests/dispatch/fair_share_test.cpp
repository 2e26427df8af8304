// Sharing of scarce room between queues and data centres of callers.
#include "poplarpitch/dispatch/fair_share.h"

#include "unit_tests/dispatch/simulated_room.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarpitch {
namespace {

const fair_share::share_key small_caller{"small", "east"};
const fair_share::share_key large_caller{"large", "east"};
constexpr std::int64_t wall_ms = 1'700'000'000'000;
constexpr std::size_t max_bytes = 8192;
constexpr duration usual_objective = seconds{4};
constexpr duration long_objective = seconds{600}; // no step becomes late

fair_share_settings make_settings(std::map<std::string, double> weights = {}) {
    fair_share_settings settings;
    settings.weights = std::move(weights);
    return settings;
}

/// Returns the part of the work started that was the first caller's.
double get_part(const simulated_room& room, const fair_share::share_key& first,
                const fair_share::share_key& second) {
    return room.get_started(first) / (room.get_started(first) + room.get_started(second));
}

/// Runs an overload in which the large caller submits ten times as much as the small one, which alone would
/// fill the room. Returns the small caller's part in the last 30 s.
double run_overload(fair_share* shares) {
    const std::vector<simulated_caller> callers = {{small_caller, 20}, {large_caller, 200}};
    simulated_room room(shares, usual_objective);
    room.run(callers, seconds{20});
    const auto small_before = room.get_started(small_caller);
    const auto large_before = room.get_started(large_caller);
    room.run(callers, seconds{30});
    const auto small = room.get_started(small_caller) - small_before;
    return small / (small + room.get_started(large_caller) - large_before);
}

/// Without the correction, a caller gets the room in proportion to what it submits.
TEST(fair_share, gives_two_queues_equal_parts_although_one_submits_ten_times_more) {
    EXPECT_LT(run_overload(nullptr), 0.15);
    fair_share shares(make_settings());
    EXPECT_NEAR(run_overload(&shares), 0.5, 0.05);
}

TEST(fair_share, gives_queues_parts_by_their_weights) {
    fair_share heavy(make_settings({{"small", 3}}));
    EXPECT_NEAR(run_overload(&heavy), 0.75, 0.05);
    fair_share light(make_settings({{"large", 3}}));
    EXPECT_NEAR(run_overload(&light), 0.25, 0.05);
}

/// The callers of one data centre must not push out those of another that use the same queue.
TEST(fair_share, separates_the_data_centres_of_one_queue) {
    const fair_share::share_key east{"queue", "east"};
    const fair_share::share_key west{"queue", "west"};
    fair_share shares(make_settings());
    simulated_room room(&shares, usual_objective);
    room.run({{east, 20}, {west, 200}}, seconds{40});
    EXPECT_GT(get_part(room, east, west), 0.4);
}

/// An older entry instance names no data centre; its callers then share one key of the queue.
TEST(fair_share, uses_the_queue_alone_where_no_data_centre_is_known) {
    const fair_share::share_key unknown{"queue", ""};
    const fair_share::share_key other{"other", ""};
    fair_share shares(make_settings());
    simulated_room room(&shares, usual_objective);
    room.run({{unknown, 20}, {other, 200}}, seconds{40});
    EXPECT_GT(get_part(room, unknown, other), 0.4);
}

TEST(fair_share, changes_nothing_while_there_is_room) {
    const std::vector<simulated_caller> callers = {{small_caller, 1}, {large_caller, 12}};
    fair_share shares(make_settings());
    simulated_room shared(&shares, usual_objective);
    simulated_room plain(nullptr, usual_objective);
    shared.run(callers, seconds{30});
    plain.run(callers, seconds{30});
    EXPECT_EQ(shared.get_order(), plain.get_order());
}

TEST(fair_share, changes_nothing_while_only_one_key_waits) {
    fair_share shares(make_settings());
    simulated_room shared(&shares, usual_objective);
    simulated_room plain(nullptr, usual_objective);
    shared.run({{large_caller, 200}}, seconds{30});
    plain.run({{large_caller, 200}}, seconds{30});
    EXPECT_EQ(shared.get_order(), plain.get_order());
}

/// Returns by how much the correction delays the step that it delays most, in a burst and its aftermath in
/// which no step becomes late. A step that is served without the correction must be served with it.
duration find_longest_delay(const fair_share_settings& settings) {
    fair_share shares(settings);
    simulated_room shared(&shares, long_objective);
    simulated_room plain(nullptr, long_objective);
    for (auto* room : {&shared, &plain}) {
        room->run({{small_caller, 5}, {large_caller, 10}}, seconds{10});
        room->run({{small_caller, 10}, {large_caller, 100}}, seconds{12});
        room->run({{small_caller, 5}}, seconds{100});
    }
    EXPECT_EQ(shared.get_waits().size(), plain.get_waits().size());
    duration longest{0};
    for (const auto& [id, wait] : plain.get_waits()) {
        longest = std::max(longest, shared.get_waits().at(id) - wait);
    }
    return longest;
}

TEST(fair_share, delays_no_step_by_more_than_the_bound) {
    fair_share_settings settings;
    const auto longest = find_longest_delay(settings);
    EXPECT_GT(longest, milliseconds{500}) << "the correction has an effect";
    EXPECT_LE(longest, settings.max_delay);
    settings.max_delay = milliseconds{500};
    EXPECT_LE(find_longest_delay(settings), settings.max_delay);
}

TEST(fair_share, halves_the_use_in_ten_seconds) {
    fair_share shares(make_settings());
    const time_point start{seconds{100}};
    shares.add_use(small_caller, 80, start);
    EXPECT_NEAR(shares.get_use(small_caller, start + seconds{10}), 40, 0.001);
    shares.add_use(small_caller, 10, start + seconds{20});
    EXPECT_NEAR(shares.get_use(small_caller, start + seconds{20}), 30, 0.001);
}

TEST(fair_share, keeps_a_bounded_number_of_keys_with_the_most_use) {
    fair_share_settings settings;
    settings.max_keys = 10;
    fair_share shares(settings);
    for (int queue = 1; queue <= 30; ++queue) {
        shares.add_use({"queue" + std::to_string(queue), ""}, queue, time_point{seconds{100}});
    }
    EXPECT_EQ(shares.get_queue_shares().size(), 10U);
    EXPECT_TRUE(shares.get_queue_shares().contains("queue30"));
}

TEST(fair_share, loads_what_the_former_leader_saved) {
    const time_point start{seconds{100}};
    fair_share former(make_settings());
    former.add_use(small_caller, 30, start);
    former.add_use({"small", ""}, 10, start);
    const auto body = former.save(wall_ms, max_bytes);
    EXPECT_EQ(former.save(wall_ms + 5000, max_bytes), body) << "the same state gives the same bytes";
    fair_share next(make_settings());
    ASSERT_TRUE(next.load(body, wall_ms + 3000));
    const time_point other_clock{seconds{7}};
    EXPECT_NEAR(next.get_use(small_caller, other_clock), 30, 0.01);
    EXPECT_NEAR(next.get_use({"small", ""}, other_clock), 10, 0.01);
    EXPECT_EQ(next.get_queue_shares(), former.get_queue_shares());
}

TEST(fair_share, saves_the_most_use_where_not_all_fits) {
    fair_share shares(make_settings());
    for (int queue = 1; queue <= 100; ++queue) {
        shares.add_use({"queue" + std::to_string(queue), "east"}, queue, time_point{seconds{100}});
    }
    constexpr std::size_t few_bytes = 300;
    const auto body = shares.save(wall_ms, few_bytes);
    EXPECT_LE(body.size(), few_bytes);
    fair_share next(make_settings());
    ASSERT_TRUE(next.load(body, wall_ms));
    EXPECT_TRUE(next.get_queue_shares().contains("queue100"));
    EXPECT_FALSE(next.get_queue_shares().contains("queue1"));
}

TEST(fair_share, changes_nothing_when_a_record_is_unreadable) {
    fair_share shares(make_settings());
    shares.add_use(small_caller, 30, time_point{seconds{100}});
    const auto before = shares.save(wall_ms, max_bytes);
    EXPECT_FALSE(shares.load("\xff\xff\xff", wall_ms));
    fair_share negative(make_settings());
    negative.add_use(large_caller, -5, time_point{seconds{100}});
    EXPECT_FALSE(shares.load(negative.save(wall_ms, max_bytes), wall_ms));
    EXPECT_EQ(shares.save(wall_ms, max_bytes), before);
}

const fair_share::room_kind mill{"mill", 0, false};

fair_share::waiting_step make_waiting(std::int64_t rank, job_id job, int lateness,
                                      const fair_share::share_key& key) {
    return {rank, {job, 0, 0}, lateness, mill, key, 1, 1};
}

/// Runs passes in which none of these steps finds room, after the large caller got all of it. Returns the
/// jobs in the order of the last pass.
std::vector<job_id> rank_without_room(const std::vector<fair_share::waiting_step>& steps,
                                      const std::vector<std::pair<std::int64_t, job_id>>& fixed = {}) {
    constexpr std::size_t many_tasks = 100;
    const time_point now{seconds{100}};
    fair_share shares(make_settings());
    shares.add_use(large_caller, 100, now);
    auto served = make_waiting(0, 99, 0, large_caller);
    served.tasks = many_tasks;
    fair_share::ranked_steps ranked = {{served.rank, served.step}};
    shares.begin_pass(ranked, {served}, now); // shows how fast the room drains
    shares.end_pass([](const step_key&) { return 0; }, now);
    for (int pass = 0; pass < 2; ++pass) {
        ranked.clear();
        for (const auto& step : steps) {
            ranked.emplace_back(step.rank, step.step);
        }
        for (const auto& [rank, job] : fixed) {
            ranked.emplace_back(rank, step_key{job, 0, 0});
        }
        std::sort(ranked.begin(), ranked.end());
        shares.begin_pass(ranked, steps, now);
        shares.end_pass([](const step_key&) { return many_tasks; }, now);
    }
    std::vector<job_id> order;
    for (const auto& [rank, step] : ranked) {
        order.push_back(step.job);
    }
    return order;
}

/// A long-running or a starving step is ranked among the others but not corrected.
TEST(fair_share, leaves_steps_that_may_not_be_corrected_at_their_positions) {
    const std::vector<fair_share::waiting_step> steps = {make_waiting(10, 1, 0, large_caller),
                                                         make_waiting(30, 3, 0, small_caller)};
    EXPECT_EQ(rank_without_room(steps), (std::vector<job_id>{3, 1}));
    EXPECT_EQ(rank_without_room(steps, {{20, 2}}), (std::vector<job_id>{3, 2, 1}));
}

/// A late result is worth less, so a late step must not displace one in time. A step with a slack of 33
/// minutes ranks behind late ones, and must not overtake them because it is in time.
TEST(fair_share, moves_no_step_across_the_border_of_a_class) {
    EXPECT_EQ(rank_without_room(
                  {make_waiting(10, 1, 0, large_caller), make_waiting(1'000'000, 2, 1, small_caller)}),
              (std::vector<job_id>{1, 2}));
    EXPECT_EQ(rank_without_room({make_waiting(10, 1, 0, large_caller), make_waiting(20, 2, 0, small_caller),
                                 make_waiting(1'000'000, 3, 1, large_caller),
                                 make_waiting(2'000'000, 4, 0, small_caller)}),
              (std::vector<job_id>{2, 1, 3, 4}));
}

/// Steps of another pool, priority or kind do not compete for the same room.
TEST(fair_share, leaves_the_order_where_keys_wait_for_different_room) {
    auto filling = make_waiting(30, 3, 0, small_caller);
    filling.room.is_filling = true;
    EXPECT_EQ(rank_without_room({make_waiting(10, 1, 0, large_caller), filling}),
              (std::vector<job_id>{1, 3}));
    auto other_pool = make_waiting(30, 3, 0, small_caller);
    other_pool.room.pool = "other";
    EXPECT_EQ(rank_without_room({make_waiting(10, 1, 0, large_caller), other_pool}),
              (std::vector<job_id>{1, 3}));
}

} // namespace
} // namespace poplarpitch
