#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/hedge_timer.h"
#include "poplarpitch/entry/hedged_call.h"
#include "unit_tests/entry/fleet_fixture.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <thread>

namespace poplarpitch {
namespace {

TEST(hedge_timer, runs_in_order_of_due_time_and_skips_cancelled_work) {
    hedge_timer timer(1);
    const auto now = system_clock().now();
    absl::Notification done;
    std::vector<int> order;
    timer.schedule(now + milliseconds{30}, [&] {
        order.push_back(2);
        done.Notify();
    });
    timer.schedule(now + milliseconds{10}, [&] { order.push_back(1); });
    const auto cancelled = timer.schedule(now + milliseconds{20}, [&] { order.push_back(9); });
    EXPECT_TRUE(timer.cancel(cancelled));
    EXPECT_FALSE(timer.cancel(cancelled));
    done.WaitForNotification();
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(hedged_call, first_good_answer_wins_and_cancels_the_other) {
    hedged_call<int> race;
    ASSERT_TRUE(race.start_second());
    race.finish(2, true, true, race.first);
    EXPECT_TRUE(race.first.is_cancelled());
    race.finish(1, true, false, race.second);
    EXPECT_FALSE(race.second.is_cancelled());
    EXPECT_EQ(race.wait_for_answer(), 2);
}

TEST(hedged_call, second_copy_does_not_begin_after_the_end) {
    hedged_call<int> race;
    race.finish(1, true, false, race.second);
    EXPECT_EQ(race.wait_for_answer(), 1);
    EXPECT_FALSE(race.start_second());
}

TEST(hedged_call, waits_for_the_second_copy_when_the_first_failed) {
    hedged_call<int> race;
    ASSERT_TRUE(race.start_second());
    std::thread second([&] { race.finish(2, true, true, race.first); });
    race.finish(1, false, false, race.second);
    EXPECT_EQ(race.wait_for_answer(), 2);
    second.join();
}

class hedge_test : public fleet_fixture {};

TEST_F(hedge_test, second_copy_goes_to_no_worker_that_has_the_first) {
    own();
    announce(make_announcement(2, true));
    const auto decision = m_dispatcher.admit(make_call("a"), m_now);
    ASSERT_TRUE(std::holds_alternative<request_grant>(decision));
    EXPECT_FALSE(m_dispatcher.try_hedge(make_call("a"), "w", m_now).has_value());
    EXPECT_EQ(m_fleet.find("w")->ledger.get_grant_count(), 1U);
    const auto elsewhere = m_dispatcher.try_hedge(make_call("a"), "other", m_now);
    ASSERT_TRUE(elsewhere.has_value());
    m_dispatcher.finish(*elsewhere, attempt_result::abandoned, {}, m_now);
    EXPECT_EQ(m_fleet.get_free_slots("s"), 0); // it may still be running there
}

} // namespace
} // namespace poplarpitch
