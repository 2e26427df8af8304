// Unanswered orders: how often they are repeated, and what follows from an order that was not sent.
#include "poplarpitch/dispatch/order_backoff.h"
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <set>

namespace poplarpitch {
namespace {

constexpr duration base_pause = milliseconds{120};

/// Fails all starts and holds at every worker for `length`. Returns the number of starts sent.
int count_starts_while_silent(dispatch_world& world, duration length, order_failure failure) {
    int starts = 0;
    const auto end = world.now + length;
    while (world.now < end) {
        for (const auto& order : world.take<start_order>()) {
            ++starts;
            world.answer(order, failure);
        }
        for (const auto& order : world.take<hold_order>()) {
            world.fail_hold(order.target.worker.id, failure);
        }
        world.advance(milliseconds{10});
    }
    return starts;
}

TEST(dispatcher_retry, asks_a_worker_that_is_gone_with_one_start_and_ever_more_seldom) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step(16)});
    // 16 starts per pause of 120 ms would be 266. After two failed holds the worker is known to be silent.
    const int starts = count_starts_while_silent(world, seconds{2}, order_failure::unreachable);
    EXPECT_GE(starts, 16);
    EXPECT_LE(starts, 18);
}

TEST(dispatcher_retry, resumes_all_starts_once_the_worker_has_answered_one) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step(16)});
    for (const auto& order : world.take<start_order>()) {
        world.answer(order, order_failure::unanswered);
    }
    world.advance(milliseconds{160});
    auto probes = world.take<start_order>();
    ASSERT_EQ(probes.size(), 1U);
    world.answer(probes[0]);
    world.advance(milliseconds{160});
    EXPECT_EQ(world.take<start_order>().size(), 15U);
}

TEST(dispatcher_retry, does_not_treat_a_worker_as_silent_because_an_order_was_not_sent) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    for (int round = 0; round < 5; ++round) {
        for (const auto& order : world.take<start_order>()) {
            world.answer(order, order_failure::not_sent);
        }
        for (const auto& order : world.take<hold_order>()) {
            world.fail_hold(order.target.worker.id, order_failure::not_sent);
        }
        world.advance(milliseconds{200});
    }
    EXPECT_FALSE(world.find_worker("w1")->is_silent());
    EXPECT_EQ(world.scheduler.get_counts().unanswered, 0U);
    EXPECT_GT(world.scheduler.get_counts().not_sent, 0U);
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U) << "it is sent again";
    world.answer(starts[0]);
    EXPECT_EQ(world.scheduler.get_counts().started, 1U);
}

TEST(dispatcher_retry, gives_a_task_back_at_once_whose_start_did_not_leave) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0], order_failure::not_sent);
    world.add_worker("w2");
    world.send_heartbeat("w1", true, 5000); // it leaves before the start is repeated
    world.advance(milliseconds{200});
    EXPECT_TRUE(world.take<stop_order>().empty()) << "nothing of it can be on the way";
    const auto second = world.take<start_order>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].target.worker.id, "w2");
}

/// Fails all holds at the worker for three seconds, less than its lease, and returns how many were sent.
int count_holds(order_failure failure) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    int holds = 0;
    for (const auto end = world.now + seconds{3}; world.now < end; world.advance(milliseconds{10})) {
        for (const auto& order : world.take<hold_order>()) {
            ++holds;
            world.fail_hold(order.target.worker.id, failure);
        }
    }
    return holds;
}

TEST(dispatcher_retry, repeats_unanswered_holds_without_long_pauses_while_there_is_a_lease_to_renew) {
    // Pauses of 0.24 s and a quarter; with doubled pauses there are 6.
    EXPECT_GE(count_holds(order_failure::unanswered), 10);
    EXPECT_LE(count_holds(order_failure::unreachable), 7) << "each costs a new connection";
}

TEST(order_backoff, doubles_its_pauses_up_to_eight_times_the_first) {
    duration last{};
    for (std::uint32_t failures = 1; failures <= 4; ++failures) {
        const auto pause = get_backoff(failures, base_pause, 7);
        const auto middle = base_pause * (1U << (failures - 1));
        EXPECT_GE(pause, middle * 3 / 4);
        EXPECT_LE(pause, middle * 5 / 4);
        EXPECT_GT(pause, last);
        last = pause;
    }
    EXPECT_LE(get_backoff(40, base_pause, 7), base_pause * 10);
}

TEST(order_backoff, spreads_the_retries_of_workers) {
    std::set<duration> pauses;
    for (std::uint64_t spread = 0; spread < 100; ++spread) {
        pauses.insert(get_backoff(2, base_pause, spread * 0x9E3779B97F4A7C15ULL));
    }
    EXPECT_GT(pauses.size(), 90U);
}

TEST(order_backoff, counts_orders_that_were_in_flight_together_once) {
    const time_point start{seconds{10}};
    order_backoff backoff;
    for (int order = 0; order < 16; ++order) {
        backoff.on_failure(start + milliseconds{order}, base_pause, 1);
    }
    EXPECT_TRUE(backoff.has_just_failed());
    EXPECT_LE(backoff.get_next() - start, base_pause * 5 / 4);
    backoff.on_answer();
    EXPECT_FALSE(backoff.is_closed(start));
}

} // namespace
} // namespace poplarpitch
