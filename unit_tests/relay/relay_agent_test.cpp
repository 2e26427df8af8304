// The relay's side: orders that arrive late, twice or from a former leader, and the frames sent to the
// leader.
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/dispatch/log_capture.h"

#include <gtest/gtest.h>

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::uint32_t own_ip = 0x0a010002;

/// A relay whose orders wait until the test answers them.
class agent_world {
public:
    agent_world()
        : agent(settings, {own_ip, "hall"},
                [this](const worker_order& order, relay_agent::outcome_handler done) {
                    orders.emplace_back(order, std::move(done));
                }) {}

    /// Delivers a frame with this many hold orders. Returns the relay's refusal, if any.
    std::optional<job_wire::relay_answers> send(log_term term, int holds = 0) {
        job_wire::relay_orders frame;
        frame.set_term(term);
        for (int number = 0; number < holds; ++number) {
            hold_order order;
            order.target = {{"w1", 0}, "10.9.0.1:80", term, false, milliseconds{900}};
            order.lease_end_ms = 4000;
            append_order(order, next_number++, frame);
        }
        return agent.on_orders(frame, now);
    }
    /// Returns the relay's next frame, or an empty one where none is due.
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
    report.incarnation = {id, 0};
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

TEST(relay_agent, executes_orders_and_returns_their_outcomes) {
    agent_world world;
    EXPECT_FALSE(world.send(3, 2).has_value());
    ASSERT_EQ(world.orders.size(), 2U);
    EXPECT_EQ(std::get<hold_order>(world.orders[0].first).target.fence, 3U)
        << "the leader's fence, not the relay's own";
    world.answer_all();
    const auto sent = world.take();
    ASSERT_EQ(sent.answers_size(), 2);
    EXPECT_EQ(sent.term(), 3U);
    EXPECT_EQ(sent.ip(), own_ip);
    EXPECT_EQ(sent.answers(1).number(), 2U);
    EXPECT_EQ(sent.answers(1).clock_ms(), 5);
}

TEST(relay_agent, answers_the_orders_of_a_former_leader_as_not_sent) {
    agent_world world;
    static_cast<void>(world.send(4));
    const auto refusal = world.send(3, 2);
    ASSERT_TRUE(refusal.has_value());
    EXPECT_TRUE(world.orders.empty());
    EXPECT_EQ(refusal->term(), 3U);
    ASSERT_EQ(refusal->answers_size(), 2);
    EXPECT_EQ(refusal->answers(0).failure(), static_cast<std::uint32_t>(order_failure::not_sent));
}

TEST(relay_agent, sends_a_new_leader_no_answers_to_orders_of_the_former_one) {
    agent_world world;
    static_cast<void>(world.send(3, 1));
    static_cast<void>(world.send(4));
    world.answer_all();
    EXPECT_EQ(world.take().answers_size(), 0);
    EXPECT_EQ(world.agent.count_open(), 0U);
}

TEST(relay_agent, stops_relaying_once_it_leads_itself) {
    agent_world world;
    static_cast<void>(world.send(3));
    EXPECT_TRUE(world.agent.can_relay(world.now));
    world.agent.on_leading(4);
    EXPECT_FALSE(world.agent.can_relay(world.now));
    EXPECT_TRUE(world.send(3, 1).has_value());
    EXPECT_TRUE(world.orders.empty());
    EXPECT_FALSE(world.send(5, 1).has_value()) << "until another one leads in a later term";
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

TEST(relay_agent, sends_a_full_report_once_and_then_only_its_time) {
    agent_world world;
    static_cast<void>(world.send(3));
    static_cast<void>(world.take());
    world.agent.on_report(make_report("w1", 1), world.now);
    world.agent.on_report(make_report("w1", 2), world.now);
    static_cast<void>(world.send(3));
    const auto sent = world.take();
    ASSERT_EQ(sent.reports_size(), 2);
    EXPECT_EQ(decode(sent.reports(0)), make_report("w1", 1));
    EXPECT_FALSE(sent.reports(1).is_whole());
    EXPECT_EQ(sent.reports(1).sequence(), 2U);
    auto grown = make_report("w1", 3);
    grown.capacity.millicores *= 2;
    world.agent.on_report(grown, world.now);
    static_cast<void>(world.send(3));
    EXPECT_TRUE(world.take().reports(0).is_whole()) << "something changed";
}

TEST(relay_agent, sends_a_new_leader_all_workers_in_its_first_frame) {
    agent_world world;
    static_cast<void>(world.send(3));
    for (int number = 0; number < 1800; ++number) {
        world.agent.on_report(make_report("w" + std::to_string(number), 1), world.now);
    }
    static_cast<void>(world.take());
    static_cast<void>(world.send(4));
    const auto sent = world.take();
    EXPECT_EQ(sent.term(), 4U);
    ASSERT_EQ(sent.reports_size(), 1800);
    EXPECT_TRUE(sent.reports(0).is_whole());
}

TEST(relay_agent, sends_a_new_leader_no_reports_of_silent_workers) {
    agent_world world;
    static_cast<void>(world.send(3));
    world.agent.on_report(make_report("w1", 1), world.now);
    world.now += world.settings.report_lifetime + milliseconds{1};
    static_cast<void>(world.send(4));
    EXPECT_EQ(world.take().reports_size(), 0);
}

TEST(relay_agent, sends_the_full_report_again_where_the_leader_lacks_it) {
    agent_world world;
    static_cast<void>(world.send(3));
    world.agent.on_report(make_report("w1", 1), world.now);
    static_cast<void>(world.take()); // this frame is lost
    job_wire::relay_orders frame;
    frame.set_term(3);
    frame.add_unknown_workers("w1");
    frame.add_unknown_workers("w2"); // unknown to this relay
    static_cast<void>(world.agent.on_orders(frame, world.now));
    const auto sent = world.take();
    ASSERT_EQ(sent.reports_size(), 1);
    EXPECT_TRUE(sent.reports(0).is_whole());
}

TEST(relay_agent, keeps_the_incarnations_of_a_worker_apart) {
    agent_world world;
    static_cast<void>(world.send(3));
    auto former = make_report("w1", 40);
    former.incarnation.process_start_ms = 100;
    auto next = make_report("w1", 1);
    next.incarnation.process_start_ms = 200;
    world.agent.on_report(former, world.now);
    static_cast<void>(world.take());
    world.agent.on_report(next, world.now);
    static_cast<void>(world.send(3));
    const auto sent = world.take();
    ASSERT_EQ(sent.reports_size(), 1);
    EXPECT_TRUE(sent.reports(0).is_whole());
    EXPECT_EQ(decode(sent.reports(0)).incarnation, next.incarnation);
    ++former.sequence; // late: it repeats the report of the former incarnation, not of the next
    world.agent.on_report(former, world.now);
    static_cast<void>(world.send(3));
    const auto late = world.take();
    ASSERT_EQ(late.reports_size(), 1);
    EXPECT_FALSE(late.reports(0).is_whole());
    EXPECT_EQ(decode_unchanged_report(late.reports(0)).worker, former.incarnation);
    EXPECT_EQ(decode_unchanged_report(late.reports(0)).full_report_sequence, 40U);
}

TEST(relay_agent, uses_the_leaders_term_as_fence_where_an_older_leader_sends_none) {
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

TEST(relay_agent, takes_no_heartbeats_once_the_leader_is_silent) {
    agent_world world;
    EXPECT_FALSE(world.agent.can_relay(world.now)) << "before it received one frame of a leader";
    static_cast<void>(world.send(3));
    EXPECT_TRUE(world.agent.can_relay(world.now));
    EXPECT_FALSE(world.agent.can_relay(world.now + world.settings.peer_timeout + milliseconds{1}));
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

/// A relay that was suspended for 8 s with an order in its queue sends the order unchanged. The lease still
/// ends when the leader said, so that the worker refuses the order as too late.
TEST(relay_agent, does_not_extend_leases_after_it_was_suspended) {
    agent_world world;
    job_wire::relay_orders frame;
    frame.set_term(3);
    hold_order order;
    order.target = {{"w1", 0}, "10.9.0.1:80", 3, false, milliseconds{900}};
    order.lease_end_ms = 4000; // on the worker's clock, set by the leader
    append_order(order, 1, frame);
    world.now += seconds{8};
    static_cast<void>(world.agent.on_orders(frame, world.now));
    ASSERT_EQ(world.orders.size(), 1U);
    EXPECT_EQ(std::get<hold_order>(world.orders[0].first).lease_end_ms, 4000);
}

TEST(relay_agent, logs_how_many_orders_of_a_former_leader_it_refused_and_how_many_were_in_progress) {
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

/// The worker may have restarted under the same id since.
TEST(relay_agent, reports_an_order_as_not_sent_that_arrived_after_its_timeout) {
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
    send_at(7'000'000); // the leader's clock has another zero
    world.now += seconds{5};
    send_at(7'000'100);
    send_at(7'003'900);
    EXPECT_EQ(world.orders.size(), 1U);
    send_at(7'004'500);
    EXPECT_EQ(world.orders.size(), 2U);
    const auto sent = world.take();
    ASSERT_EQ(sent.answers_size(), 2);
    EXPECT_EQ(sent.answers(1).failure(), static_cast<std::uint32_t>(order_failure::not_sent));
}

} // namespace
} // namespace poplarpitch
