// A relay's end: what it does with orders that come late, twice or from an older leader, and what it tells.
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/dispatch/log_capture.h"

#include <gtest/gtest.h>

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::uint32_t here = 0x0a010002;

/// A relay whose orders wait until the test answers them.
class agent_world {
public:
    agent_world()
        : agent(settings, {here, "hall"},
                [this](const worker_order& order, relay_agent::outcome_handler done) {
                    orders.emplace_back(order, std::move(done));
                }) {}

    /// Hands the relay a frame with this many holds.
    std::optional<job_wire::relay_answers> send(log_term term, int holds = 0) {
        job_wire::relay_orders frame;
        frame.set_term(term);
        for (int number = 0; number < holds; ++number) {
            hold_order order;
            order.target = {{"w1", 0}, "10.9.0.1:80", term, false, milliseconds{900}};
            order.until_ms = 4000;
            append_order(order, next_number++, frame);
        }
        return agent.on_orders(frame, now);
    }
    /// Returns what the relay tells by now; an empty frame where it has nothing to tell.
    job_wire::relay_answers take() {
        now += settings.min_frame_interval;
        return agent.take_answers(now).value_or(job_wire::relay_answers{});
    }
    void answer_all() {
        for (auto& [order, done] : std::exchange(orders, {})) {
            done({std::nullopt, {5, {}, {}}});
        }
    }

    relay_settings settings;
    std::vector<std::pair<worker_order, relay_agent::outcome_handler>> orders;
    relay_agent agent;
    time_point now{seconds{100}};
    std::uint64_t next_number = 1;
};

worker_report make_report(const std::string& id, std::uint64_t sequence) {
    worker_report report;
    report.life = {id, 0};
    report.address = "10.9.0.1:80";
    report.pool = "mill";
    report.data_centre = "hall";
    report.capacity = {64000, 256000, 0};
    report.labels = {"a", "r1"};
    report.rack = "r1";
    report.clock_ms = static_cast<std::int64_t>(1000 * sequence);
    report.sequence = sequence;
    return report;
}

TEST(relay_agent, carries_orders_out_and_tells_what_became_of_them) {
    agent_world world;
    EXPECT_FALSE(world.send(3, 2).has_value());
    ASSERT_EQ(world.orders.size(), 2U);
    EXPECT_EQ(std::get<hold_order>(world.orders[0].first).target.fence, 3U) << "the leader's, not its own";
    world.answer_all();
    const auto told = world.take();
    ASSERT_EQ(told.answers_size(), 2);
    EXPECT_EQ(told.term(), 3U);
    EXPECT_EQ(told.ip(), here);
    EXPECT_EQ(told.answers(1).number(), 2U);
    EXPECT_EQ(told.answers(1).clock_ms(), 5);
}

TEST(relay_agent, tells_a_leader_that_was_replaced_that_nothing_was_sent) {
    agent_world world;
    static_cast<void>(world.send(4));
    const auto refusal = world.send(3, 2);
    ASSERT_TRUE(refusal.has_value());
    EXPECT_TRUE(world.orders.empty());
    EXPECT_EQ(refusal->term(), 3U);
    ASSERT_EQ(refusal->answers_size(), 2);
    EXPECT_EQ(refusal->answers(0).failure(), static_cast<std::uint32_t>(order_failure::not_sent));
}

TEST(relay_agent, tells_a_new_leader_nothing_of_the_orders_of_the_one_before) {
    agent_world world;
    static_cast<void>(world.send(3, 1));
    static_cast<void>(world.send(4));
    world.answer_all();
    EXPECT_EQ(world.take().answers_size(), 0);
    EXPECT_EQ(world.agent.count_open(), 0U);
}

TEST(relay_agent, relays_for_nobody_once_it_leads_itself) {
    agent_world world;
    static_cast<void>(world.send(3));
    EXPECT_TRUE(world.agent.is_serving(world.now));
    world.agent.on_leading(4);
    EXPECT_FALSE(world.agent.is_serving(world.now));
    EXPECT_TRUE(world.send(3, 1).has_value());
    EXPECT_TRUE(world.orders.empty());
    EXPECT_FALSE(world.send(5, 1).has_value()) << "until another one leads after it";
    EXPECT_EQ(world.orders.size(), 1U);
}

TEST(relay_agent, answers_each_frame_also_one_without_orders) {
    agent_world world;
    EXPECT_FALSE(world.agent.get_due().has_value());
    static_cast<void>(world.send(3));
    ASSERT_TRUE(world.agent.get_due().has_value());
    EXPECT_EQ(world.take().term(), 3U);
    EXPECT_FALSE(world.agent.get_due().has_value());
}

TEST(relay_agent, tells_a_report_whole_once_and_then_only_its_time) {
    agent_world world;
    static_cast<void>(world.send(3));
    static_cast<void>(world.take());
    world.agent.on_report(make_report("w1", 1), world.now);
    world.agent.on_report(make_report("w1", 2), world.now);
    static_cast<void>(world.send(3));
    const auto told = world.take();
    ASSERT_EQ(told.reports_size(), 2);
    EXPECT_EQ(decode(told.reports(0)), make_report("w1", 1));
    EXPECT_FALSE(told.reports(1).is_whole());
    EXPECT_EQ(told.reports(1).sequence(), 2U);
    auto grown = make_report("w1", 3);
    grown.capacity.millicores *= 2;
    world.agent.on_report(grown, world.now);
    static_cast<void>(world.send(3));
    EXPECT_TRUE(world.take().reports(0).is_whole()) << "something changed";
}

TEST(relay_agent, tells_a_new_leader_all_workers_in_its_first_frame) {
    agent_world world;
    static_cast<void>(world.send(3));
    for (int number = 0; number < 1800; ++number) {
        world.agent.on_report(make_report("w" + std::to_string(number), 1), world.now);
    }
    static_cast<void>(world.take());
    static_cast<void>(world.send(4));
    const auto told = world.take();
    EXPECT_EQ(told.term(), 4U);
    ASSERT_EQ(told.reports_size(), 1800);
    EXPECT_TRUE(told.reports(0).is_whole());
}

TEST(relay_agent, tells_a_new_leader_nothing_of_workers_that_fell_silent) {
    agent_world world;
    static_cast<void>(world.send(3));
    world.agent.on_report(make_report("w1", 1), world.now);
    world.now += world.settings.report_lifetime + milliseconds{1};
    static_cast<void>(world.send(4));
    EXPECT_EQ(world.take().reports_size(), 0);
}

TEST(relay_agent, tells_the_whole_report_again_where_the_leader_lacks_it) {
    agent_world world;
    static_cast<void>(world.send(3));
    world.agent.on_report(make_report("w1", 1), world.now);
    static_cast<void>(world.take()); // lost on the way
    job_wire::relay_orders frame;
    frame.set_term(3);
    frame.add_unknown_workers("w1");
    frame.add_unknown_workers("w2"); // never heard here
    static_cast<void>(world.agent.on_orders(frame, world.now));
    const auto told = world.take();
    ASSERT_EQ(told.reports_size(), 1);
    EXPECT_TRUE(told.reports(0).is_whole());
}

TEST(relay_agent, keeps_the_lives_of_a_worker_apart) {
    agent_world world;
    static_cast<void>(world.send(3));
    auto former = make_report("w1", 40);
    former.life.born_ms = 100;
    auto next = make_report("w1", 1);
    next.life.born_ms = 200;
    world.agent.on_report(former, world.now);
    static_cast<void>(world.take());
    world.agent.on_report(next, world.now);
    static_cast<void>(world.send(3));
    const auto told = world.take();
    ASSERT_EQ(told.reports_size(), 1);
    EXPECT_TRUE(told.reports(0).is_whole());
    EXPECT_EQ(decode(told.reports(0)).life, next.life);
    ++former.sequence; // late: it repeats what was told of that life, not of the next
    world.agent.on_report(former, world.now);
    static_cast<void>(world.send(3));
    const auto late = world.take();
    ASSERT_EQ(late.reports_size(), 1);
    EXPECT_FALSE(late.reports(0).is_whole());
    EXPECT_EQ(decode_sign_of_life(late.reports(0)).worker, former.life);
    EXPECT_EQ(decode_sign_of_life(late.reports(0)).told, 40U);
}

TEST(relay_agent, takes_the_leaders_term_for_the_fence_where_an_older_leader_names_none) {
    agent_world world;
    job_wire::relay_orders frame;
    frame.set_term(3);
    hold_order order;
    order.target = {{"w1", 0}, "10.9.0.1:80", 5, false, milliseconds{900}};
    append_order(order, 1, frame);
    append_order(order, 2, frame);
    frame.mutable_orders(1)->set_fence(0);
    static_cast<void>(world.agent.on_orders(frame, world.now));
    ASSERT_EQ(world.orders.size(), 2U);
    EXPECT_EQ(std::get<hold_order>(world.orders[0].first).target.fence, 5U);
    EXPECT_EQ(std::get<hold_order>(world.orders[1].first).target.fence, 3U);
}

TEST(relay_agent, takes_no_heartbeats_once_the_leader_fell_silent) {
    agent_world world;
    EXPECT_FALSE(world.agent.is_serving(world.now)) << "before it has heard one";
    static_cast<void>(world.send(3));
    EXPECT_TRUE(world.agent.is_serving(world.now));
    EXPECT_FALSE(world.agent.is_serving(world.now + world.settings.peer_timeout + milliseconds{1}));
}

TEST(relay_agent, names_the_relay_in_the_worker_s_data_centre_for_later_heartbeats) {
    agent_world world;
    job_wire::relay_orders frame;
    frame.set_term(3);
    frame.set_has_places(true);
    auto& place = *frame.add_places();
    place.set_ip(77);
    place.set_data_centre("other");
    static_cast<void>(world.agent.on_orders(frame, world.now));
    auto report = make_report("w1", 1);
    report.data_centre = "other";
    EXPECT_EQ(world.agent.pick(report), 77U);
}

/// A relay stands still for 8 s with a start in its queue, which it carries out when it goes on. The order is
/// what it was: its lease ends where the leader counted it to end, so the worker refuses it as too late.
TEST(relay_agent, prolongs_nothing_when_it_stood_still) {
    agent_world world;
    job_wire::relay_orders frame;
    frame.set_term(3);
    hold_order order;
    order.target = {{"w1", 0}, "10.9.0.1:80", 3, false, milliseconds{900}};
    order.until_ms = 4000; // on the worker's clock, by the leader's word
    append_order(order, 1, frame);
    world.now += seconds{8};
    static_cast<void>(world.agent.on_orders(frame, world.now));
    ASSERT_EQ(world.orders.size(), 1U);
    EXPECT_EQ(std::get<hold_order>(world.orders[0].first).until_ms, 4000);
}

TEST(relay_agent, says_how_many_orders_of_a_former_leader_it_refused_and_how_many_were_under_way) {
    agent_world world;
    const log_capture logs;
    world.send(4, 3);
    world.send(5);
    world.send(4, 2);
    world.send(4);
    EXPECT_EQ(logs.find("relay_term"),
              (std::vector<std::string>{"event=relay_term term=4 workers=0 open=0",
                                        "event=relay_term term=5 workers=0 open=3"}));
    EXPECT_EQ(logs.find("relay_orders_refused"),
              (std::vector<std::string>{"event=relay_orders_refused term=4 known_term=5 leads=no orders=2"}));
}

/// Its worker may have started again under its id since.
TEST(relay_agent, tells_an_order_as_not_sent_whose_time_was_over_when_it_came) {
    agent_world world;
    const auto send_at = [&world](std::int64_t sent_ms) {
        job_wire::relay_orders frame;
        frame.set_term(3);
        frame.set_sent_ms(sent_ms);
        hold_order order;
        order.target = {{"w1", 0}, "10.9.0.1:80", 3, false, milliseconds{900}};
        append_order(order, world.next_number++, frame);
        static_cast<void>(world.agent.on_orders(frame, world.now));
    };
    send_at(7'000'000); // the leader's clock counts from another time
    world.now += seconds{5};
    send_at(7'000'100);
    send_at(7'003'900);
    EXPECT_EQ(world.orders.size(), 1U);
    send_at(7'004'500);
    EXPECT_EQ(world.orders.size(), 2U);
    const auto told = world.take();
    ASSERT_EQ(told.answers_size(), 2);
    EXPECT_EQ(told.answers(1).failure(), static_cast<std::uint32_t>(order_failure::not_sent));
}

} // namespace
} // namespace poplarpitch
