// The leader's side: every order gets one outcome, whatever happens to its relay.
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/relay/relay_hub.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <map>

namespace poplarpitch {
namespace {

constexpr std::uint32_t near = 0x0a010002;
constexpr std::uint32_t far = 0x0a020003;
constexpr log_term term = 7;

class hub_world {
public:
    hub_world() : hub(settings) { hub.start_leading(term, {}, now); }

    /// Delivers a frame of a relay without answers, which makes the relay known.
    void announce(std::uint32_t ip, const std::string& data_centre) {
        job_wire::relay_answers frame;
        frame.set_term(term);
        frame.set_ip(ip);
        frame.set_data_centre(data_centre);
        frame.set_version(relay_version);
        EXPECT_TRUE(hub.on_answers(frame, now).empty());
    }
    std::vector<relayed_outcome> answer(std::uint32_t ip, const std::vector<std::uint64_t>& numbers) {
        job_wire::relay_answers frame;
        frame.set_term(term);
        frame.set_ip(ip);
        frame.set_data_centre(ip == near ? "near" : "far");
        frame.set_version(relay_version);
        for (const auto number : numbers) {
            frame.add_answers()->set_number(number);
        }
        return hub.on_answers(frame, now);
    }
    /// Returns the numbers of the orders in the frames that are due, by relay.
    std::map<std::uint32_t, std::vector<std::uint64_t>> take_numbers() {
        std::map<std::uint32_t, std::vector<std::uint64_t>> numbers;
        for (const auto& frame : hub.take_frames({near, far}, now)) {
            for (const auto& order : frame.orders->orders()) {
                numbers[frame.ip].push_back(order.number());
            }
        }
        return numbers;
    }

    relay_settings settings;
    relay_hub hub;
    time_point now{seconds{100}};
};

start_order make_start(const std::string& worker, std::uint32_t index, const std::string& payload = "text") {
    auto job = std::make_shared<step_job>();
    job->payload = payload;
    start_order order;
    order.target = {{worker, 0}, "10.9.0.1:80", term, false, milliseconds{900}};
    order.run = {{{1, 0, 0}, index}, 1};
    order.job = std::move(job);
    order.lease_end_ms = 5000;
    return order;
}

hold_order make_hold(const std::string& worker) {
    hold_order order;
    order.target = {{worker, 0}, "10.9.0.1:80", term, false, milliseconds{1800}};
    order.lease_end_ms = 5000;
    order.wait = seconds{1};
    return order;
}

TEST(relay_hub, uses_no_relay_of_a_version_without_a_fence_per_order) {
    hub_world world;
    job_wire::relay_answers frame;
    frame.set_term(term);
    frame.set_ip(near);
    frame.set_data_centre("near");
    EXPECT_TRUE(world.hub.on_answers(frame, world.now).empty());
    EXPECT_EQ(world.hub.count_relays(), 0U);
    world.announce(far, "far");
    EXPECT_EQ(world.hub.count_relays(), 1U);
}

TEST(relay_hub, uses_no_relay_of_a_version_that_reports_a_written_start_as_not_sent) {
    constexpr std::uint32_t old_version = 1;
    hub_world world;
    job_wire::relay_answers frame;
    frame.set_term(term);
    frame.set_ip(near);
    frame.set_data_centre("near");
    frame.set_version(old_version);
    EXPECT_TRUE(world.hub.on_answers(frame, world.now).empty());
    EXPECT_EQ(world.hub.count_relays(), 0U);
}

TEST(relay_hub, accepts_no_order_while_no_relay_is_known) {
    hub_world world;
    EXPECT_FALSE(world.hub.add(make_hold("w1"), "near", 1, world.now));
    EXPECT_EQ(world.hub.take_frames({near, far}, world.now).size(), 2U)
        << "each instance is asked whether it relays";
}

// Guards against a new leader that loses the relays which are no members of its log: their workers' orders
// would move to the other relays, and back when they announce themselves.
TEST(relay_hub, sends_frames_to_the_former_leaders_relays_until_they_have_announced_themselves) {
    hub_world world;
    world.hub.start_leading(term + 1, {far}, world.now);
    EXPECT_EQ(world.hub.take_frames({near}, world.now).size(), 2U);
    world.now += world.settings.announcement_limit;
    EXPECT_EQ(world.hub.take_frames({near}, world.now).size(), 1U);
    world.hub.start_leading(term + 2, {}, world.now);
    EXPECT_EQ(world.hub.take_frames({near}, world.now).size(), 1U);
}

TEST(relay_hub, sends_an_order_by_the_relay_in_the_data_centre_of_its_worker) {
    hub_world world;
    world.announce(near, "near");
    world.announce(far, "far");
    for (std::uint64_t worker_hash = 0; worker_hash < 20; ++worker_hash) {
        ASSERT_TRUE(world.hub.add(make_hold("w"), "near", worker_hash, world.now));
    }
    const auto numbers = world.take_numbers();
    ASSERT_EQ(numbers.size(), 1U);
    EXPECT_EQ(numbers.begin()->first, near);
}

TEST(relay_hub, spreads_workers_of_another_data_centre_over_all_relays) {
    hub_world world;
    world.announce(near, "near");
    world.announce(far, "far");
    for (std::uint64_t worker_hash = 0; worker_hash < 200; ++worker_hash) {
        ASSERT_TRUE(world.hub.add(make_hold("w"), "elsewhere", worker_hash, world.now));
    }
    const auto numbers = world.take_numbers();
    ASSERT_EQ(numbers.size(), 2U);
    EXPECT_GT(numbers.at(near).size(), 60U);
    EXPECT_GT(numbers.at(far).size(), 60U);
}

TEST(relay_hub, returns_one_outcome_for_each_order) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_start("w1", 3), "near", 1, world.now));
    const auto numbers = world.take_numbers().at(near);
    const auto outcomes = world.answer(near, numbers);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].order.type, relay_order_key::kind::start);
    EXPECT_EQ(outcomes[0].order.run.task.index, 3U);
    EXPECT_FALSE(outcomes[0].outcome.failure.has_value());
    EXPECT_TRUE(world.answer(near, numbers).empty());
    world.now += seconds{10};
    EXPECT_TRUE(world.hub.expire_orders(world.now).empty());
}

TEST(relay_hub, counts_what_it_exchanges_with_its_relays) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_start("w1", 0), "near", 1, world.now));
    ASSERT_TRUE(world.hub.add(make_hold("w1"), "near", 1, world.now));
    const auto numbers = world.take_numbers().at(near);
    static_cast<void>(world.answer(near, numbers));
    job_wire::relay_answers heartbeats;
    heartbeats.set_term(term);
    heartbeats.set_ip(near);
    heartbeats.set_data_centre("near");
    heartbeats.set_version(relay_version);
    heartbeats.add_reports()->set_is_whole(true);
    heartbeats.add_reports();
    heartbeats.add_reports();
    static_cast<void>(world.hub.on_answers(heartbeats, world.now));
    EXPECT_EQ(world.hub.get_counts(), (relay_counts{2, 3, 2, 2, 1, 2}));
}

TEST(relay_hub, reports_a_start_at_a_silent_relay_as_unanswered) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_start("w1", 0), "near", 1, world.now));
    ASSERT_TRUE(world.hub.add(make_hold("w1"), "near", 1, world.now));
    const auto numbers = world.take_numbers().at(near);
    world.now += world.settings.peer_timeout + milliseconds{1};
    const auto lost = world.hub.expire_orders(world.now);
    ASSERT_EQ(lost.size(), 2U);
    EXPECT_EQ(lost[0].outcome.failure, order_failure::unanswered) << "the start may have been carried out";
    EXPECT_EQ(lost[1].outcome.failure, order_failure::not_sent) << "this has nothing to do with the worker";
    EXPECT_EQ(world.hub.count_relays(), 0U);
    EXPECT_TRUE(world.answer(near, numbers).empty()) << "what arrives late is ignored";
    EXPECT_EQ(world.hub.count_relays(), 1U) << "but it makes the relay known again";
}

// Guards against a leader that takes its own pause for the silence of all relays. It would call all workers
// itself, which opens thousands of connections and makes it pause again.
TEST(relay_hub, keeps_its_relays_and_orders_after_a_pause_of_its_own) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_start("w1", 0), "near", 1, world.now));
    const auto numbers = world.take_numbers().at(near);
    EXPECT_TRUE(world.hub.expire_orders(world.now).empty());
    world.now += 3 * world.settings.peer_timeout;
    EXPECT_TRUE(world.hub.expire_orders(world.now).empty());
    EXPECT_EQ(world.hub.count_relays(), 1U);
    EXPECT_EQ(world.answer(near, numbers).size(), 1U) << "the answer had arrived in the pause";
}

TEST(relay_hub, loses_a_relay_that_is_silent_after_a_pause_too) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_start("w1", 0), "near", 1, world.now));
    static_cast<void>(world.hub.expire_orders(world.now));
    world.now += world.settings.peer_timeout;
    EXPECT_TRUE(world.hub.expire_orders(world.now).empty());
    const auto limit = world.now + world.settings.peer_timeout + world.settings.max_frame_interval;
    std::size_t lost = 0;
    while (world.now <= limit) {
        world.now += world.settings.max_frame_interval / 4;
        lost += world.hub.expire_orders(world.now).size();
    }
    EXPECT_EQ(lost, 1U);
    EXPECT_EQ(world.hub.count_relays(), 0U);
}

TEST(relay_hub, reports_orders_as_not_sent_where_the_frame_found_no_connection) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_start("w1", 0), "near", 1, world.now));
    const auto frames = world.hub.take_frames({near}, world.now);
    ASSERT_EQ(frames.size(), 1U);
    const auto outcomes = world.hub.on_frame_not_sent(near, *frames[0].orders);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].outcome.failure, order_failure::not_sent);
    EXPECT_EQ(world.hub.count_open(), 0U);
}

TEST(relay_hub, moves_only_the_workers_of_a_lost_relay) {
    hub_world world;
    constexpr std::uint32_t third = 0x0a030004;
    world.announce(near, "near");
    world.announce(far, "far");
    world.announce(third, "third");
    std::map<std::uint64_t, std::uint32_t> before;
    for (std::uint64_t worker_hash = 0; worker_hash < 300; ++worker_hash) {
        before[worker_hash] = *world.hub.pick("elsewhere", worker_hash);
    }
    world.now += world.settings.peer_timeout;
    world.announce(near, "near");
    world.announce(far, "far");
    world.now += milliseconds{1};
    static_cast<void>(world.hub.expire_orders(world.now));
    int moved_to_near = 0;
    int moved_to_far = 0;
    for (const auto& [worker_hash, relay] : before) {
        const auto after = *world.hub.pick("elsewhere", worker_hash);
        if (relay != third) {
            EXPECT_EQ(after, relay);
            continue;
        }
        moved_to_near += after == near ? 1 : 0;
        moved_to_far += after == far ? 1 : 0;
    }
    EXPECT_GT(moved_to_near, 20);
    EXPECT_GT(moved_to_far, 20);
}

TEST(relay_hub, times_out_an_order_at_a_relay_that_is_alive) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_start("w1", 0), "near", 1, world.now));
    static_cast<void>(world.take_numbers());
    for (int turn = 0; turn < 12; ++turn) {
        world.now += milliseconds{100};
        world.announce(near, "near");
    }
    const auto lost = world.hub.expire_orders(world.now);
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_EQ(lost[0].outcome.failure, order_failure::unanswered);
}

TEST(relay_hub, ignores_an_answer_for_another_leader) {
    hub_world world;
    world.announce(near, "near");
    ASSERT_TRUE(world.hub.add(make_hold("w1"), "near", 1, world.now));
    job_wire::relay_answers old;
    old.set_term(term - 1);
    old.set_ip(near);
    old.add_answers()->set_number(world.take_numbers().at(near).front());
    EXPECT_TRUE(world.hub.on_answers(old, world.now).empty());
    EXPECT_EQ(world.hub.count_open(), 1U);
}

TEST(relay_hub, writes_a_payload_once_a_frame) {
    hub_world world;
    world.announce(near, "near");
    const std::string payload(4000, 'x');
    for (std::uint32_t index = 0; index < 40; ++index) {
        ASSERT_TRUE(world.hub.add(make_start("w1", index, payload), "near", 1, world.now));
    }
    const auto frames = world.hub.take_frames({near}, world.now);
    ASSERT_EQ(frames.size(), 1U);
    EXPECT_EQ(frames[0].orders->payloads_size(), 1);
    EXPECT_LT(frames[0].orders->ByteSizeLong(), 2 * payload.size());
}

TEST(relay_hub, batches_orders_into_few_frames) {
    hub_world world;
    world.announce(near, "near");
    std::size_t frames = 0;
    for (int turn = 0; turn < 1000; ++turn) {
        world.now += std::chrono::microseconds{100};
        ASSERT_TRUE(world.hub.add(make_hold("w1"), "near", 1, world.now));
        frames += world.hub.take_frames({near}, world.now).size();
    }
    EXPECT_LE(frames, 35U) << "100 ms at one frame each 3 ms";
    EXPECT_GE(frames, 30U);
}

TEST(relay_codec, carries_every_kind_of_order_and_its_answer) {
    job_wire::relay_orders frame;
    frame.set_term(term);
    const auto start = make_start("w1", 4);
    append_order(start, 1, frame);
    append_order(make_hold("w2"), 2, frame);
    append_order(stop_order{start.target, start.run}, 3, frame);
    append_order(pace_order{start.target, start.run, 35}, 4, frame);
    const auto first = read_order(frame.orders(0), frame);
    ASSERT_TRUE(first.has_value());
    const auto& back = std::get<start_order>(*first);
    EXPECT_EQ(back.target, start.target);
    EXPECT_EQ(back.run, start.run);
    EXPECT_EQ(back.job->payload, start.job->payload);
    EXPECT_EQ(back.lease_end_ms, start.lease_end_ms);
    EXPECT_EQ(std::get<hold_order>(*read_order(frame.orders(1), frame)), make_hold("w2"));
    EXPECT_EQ(std::get<stop_order>(*read_order(frame.orders(2), frame)),
              (stop_order{start.target, start.run}));
    EXPECT_EQ(std::get<pace_order>(*read_order(frame.orders(3), frame)),
              (pace_order{start.target, start.run, 35}));

    order_outcome outcome;
    outcome.answer = {77, {{start.run, "saved", 40, 120}}, {{9, start.run, run_end::failed, "other"}}};
    job_wire::relayed_answer message;
    encode(outcome, message);
    EXPECT_EQ(decode(message), outcome);
}

TEST(relay_codec, reads_no_start_whose_payload_is_missing) {
    job_wire::relay_orders frame;
    append_order(make_start("w1", 4), 1, frame);
    frame.clear_payloads();
    EXPECT_FALSE(read_order(frame.orders(0), frame).has_value());
}

} // namespace
} // namespace poplarpitch
