// Orders that waited beside a relay that stood still, or on their way to it.
#include "poplarpitch/relay/frame_delay_estimator.h"
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/relay/relay_hub.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

constexpr duration order_time = milliseconds{900};
constexpr duration clock_gap = seconds{5000}; // the relay's clock is ahead of the leader's by this

/// A relay that carries out what it gets at once, and the leader's clock.
class age_world {
public:
    /// Hands the relay a frame with one stop that the leader sent at `sent`. Returns what the relay tells.
    std::optional<order_failure> hand(time_point sent, time_point arrived, log_term term = 3) {
        job_wire::relay_orders frame;
        frame.set_term(term);
        if (sent != time_point{}) {
            frame.set_sent_ms(to_milliseconds(sent.time_since_epoch()));
        }
        stop_order order;
        order.target = {{"w1", 0}, "10.9.0.1:80", term, false, order_time};
        append_order(order, m_next_number++, frame);
        EXPECT_FALSE(agent.on_orders(frame, arrived).has_value());
        m_told += settings.min_frame_interval;
        const auto told = agent.take_answers(std::max(arrived, m_told)).value_or(job_wire::relay_answers{});
        EXPECT_EQ(told.answers_size(), 1);
        return told.answers_size() == 1 ? decode(told.answers(0)).failure : std::nullopt;
    }

    relay_settings settings;
    int carried_out = 0;
    relay_agent agent{settings,
                      {0x0a010002, "hall"},
                      [this](const worker_order& /*order*/, const relay_agent::outcome_handler& done) {
                          ++carried_out;
                          done({std::nullopt, {5, {}, {}}});
                      }};

private:
    std::uint64_t m_next_number = 1;
    time_point m_told{seconds{100'000}};
};

constexpr time_point begin{seconds{1000}};

TEST(relay_age, tells_orders_that_waited_for_a_relay_which_stood_still_as_not_sent) {
    age_world world;
    EXPECT_FALSE(world.hand(begin, begin + clock_gap).has_value());
    const auto thawed = begin + clock_gap + seconds{4};
    EXPECT_EQ(world.hand(begin + milliseconds{100}, thawed), order_failure::not_sent);
    EXPECT_EQ(world.hand(begin + milliseconds{500}, thawed), order_failure::not_sent);
    EXPECT_EQ(world.carried_out, 1);
    EXPECT_FALSE(world.hand(begin + milliseconds{3950}, thawed).has_value());
    EXPECT_EQ(world.carried_out, 2);
}

TEST(relay_age, carries_out_what_comes_within_its_time) {
    age_world world;
    EXPECT_FALSE(world.hand(begin, begin + clock_gap).has_value());
    EXPECT_FALSE(world.hand(begin, begin + clock_gap + order_time).has_value());
    EXPECT_EQ(world.hand(begin, begin + clock_gap + order_time + milliseconds{1}), order_failure::not_sent);
}

TEST(relay_age, takes_frames_of_versions_that_do_not_tell_their_time_as_now) {
    age_world world;
    EXPECT_FALSE(world.hand(begin, begin + clock_gap).has_value());
    EXPECT_FALSE(world.hand(time_point{}, begin + clock_gap + seconds{4}).has_value());
}

TEST(relay_age, compares_no_clocks_of_two_leaders) {
    age_world world;
    EXPECT_FALSE(world.hand(begin, begin + clock_gap).has_value());
    EXPECT_FALSE(world.hand(begin - seconds{500}, begin + clock_gap, 4).has_value());
}

TEST(relay_age, follows_clocks_that_drift_apart) {
    age_world world;
    constexpr int part = 50; // a clock that is 2% slow
    const duration length = seconds{1800};
    const duration frame_interval = milliseconds{100};
    for (duration passed{0}; passed < length; passed += frame_interval) {
        ASSERT_FALSE(world.hand(begin + passed, begin + clock_gap + passed + passed / part).has_value());
    }
    EXPECT_EQ(world.hand(begin + length, begin + clock_gap + length + length / part + seconds{2}),
              order_failure::not_sent);
}

TEST(relay_age, is_told_by_every_frame_of_the_leader) {
    relay_hub hub(relay_settings{});
    hub.lead(3);
    const auto frames = hub.take_frames({0x0a010002}, begin);
    ASSERT_EQ(frames.size(), 1U);
    EXPECT_EQ(frames[0].orders->sent_ms(), to_milliseconds(begin.time_since_epoch()));
}

} // namespace
} // namespace poplarpitch
