// Orders that were delayed in a suspended relay, or on their way to it.
#include "poplarpitch/relay/frame_age.h"
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/relay/relay_hub.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

constexpr duration order_timeout = milliseconds{900};
constexpr duration clock_gap = seconds{5000}; // the relay's clock is ahead of the leader's by this

/// A relay that executes orders at once, and the leader's clock.
class age_world {
public:
    /// Delivers a frame with one stop order that the leader sent at `sent`. Returns the failure in the
    /// answer.
    std::optional<order_failure> deliver(time_point sent, time_point arrived, log_term term = 3) {
        job_wire::relay_orders frame;
        frame.set_term(term);
        if (sent != time_point{}) {
            frame.set_sent_ms(to_milliseconds(sent.time_since_epoch()));
        }
        stop_order order;
        order.target = {{"w1", 0}, "10.9.0.1:80", term, false, order_timeout};
        append_order(order, m_next_number++, frame);
        EXPECT_FALSE(agent.on_orders(frame, arrived).has_value());
        m_last_taken += settings.min_frame_interval;
        const auto answers =
            agent.take_answers(std::max(arrived, m_last_taken)).value_or(job_wire::relay_answers{});
        EXPECT_EQ(answers.answers_size(), 1);
        return answers.answers_size() == 1 ? decode(answers.answers(0)).failure : std::nullopt;
    }

    relay_settings settings;
    int executed = 0;
    relay_agent agent{settings,
                      {0x0a010002, "hall"},
                      [this](const worker_order& /*order*/, const relay_agent::outcome_handler& done) {
                          ++executed;
                          done({std::nullopt, {5, {}, {}}});
                      }};

private:
    std::uint64_t m_next_number = 1;
    time_point m_last_taken{seconds{100'000}};
};

constexpr time_point begin{seconds{1000}};

TEST(relay_age, reports_orders_that_waited_in_a_suspended_relay_as_not_sent) {
    age_world world;
    EXPECT_FALSE(world.deliver(begin, begin + clock_gap).has_value());
    const auto resumed = begin + clock_gap + seconds{4};
    EXPECT_EQ(world.deliver(begin + milliseconds{100}, resumed), order_failure::not_sent);
    EXPECT_EQ(world.deliver(begin + milliseconds{500}, resumed), order_failure::not_sent);
    EXPECT_EQ(world.executed, 1);
    EXPECT_FALSE(world.deliver(begin + milliseconds{3950}, resumed).has_value());
    EXPECT_EQ(world.executed, 2);
}

TEST(relay_age, executes_orders_that_arrive_within_their_timeout) {
    age_world world;
    EXPECT_FALSE(world.deliver(begin, begin + clock_gap).has_value());
    EXPECT_FALSE(world.deliver(begin, begin + clock_gap + order_timeout).has_value());
    EXPECT_EQ(world.deliver(begin, begin + clock_gap + order_timeout + milliseconds{1}),
              order_failure::not_sent);
}

TEST(relay_age, treats_frames_without_a_send_time_as_not_delayed) {
    age_world world;
    EXPECT_FALSE(world.deliver(begin, begin + clock_gap).has_value());
    EXPECT_FALSE(world.deliver(time_point{}, begin + clock_gap + seconds{4}).has_value());
}

TEST(relay_age, does_not_compare_the_clocks_of_two_leaders) {
    age_world world;
    EXPECT_FALSE(world.deliver(begin, begin + clock_gap).has_value());
    EXPECT_FALSE(world.deliver(begin - seconds{500}, begin + clock_gap, 4).has_value());
}

TEST(relay_age, follows_clocks_that_drift_apart) {
    age_world world;
    constexpr int drift_divisor = 50; // a clock that is 2% slow
    const duration test_length = seconds{1800};
    const duration frame_interval = milliseconds{100};
    for (duration elapsed{0}; elapsed < test_length; elapsed += frame_interval) {
        ASSERT_FALSE(world.deliver(begin + elapsed, begin + clock_gap + elapsed + elapsed / drift_divisor)
                         .has_value());
    }
    EXPECT_EQ(world.deliver(begin + test_length,
                            begin + clock_gap + test_length + test_length / drift_divisor + seconds{2}),
              order_failure::not_sent);
}

TEST(relay_age, every_frame_of_the_leader_has_its_send_time) {
    relay_hub hub(relay_settings{});
    hub.start_leading(3, {}, begin);
    const auto frames = hub.take_frames({0x0a010002}, begin);
    ASSERT_EQ(frames.size(), 1U);
    EXPECT_EQ(frames[0].orders->sent_ms(), to_milliseconds(begin.time_since_epoch()));
}

} // namespace
} // namespace poplarpitch
