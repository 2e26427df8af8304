// Every reason for which the replicated job state takes a run as ended, and similar evidence that does not
// end a run.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr std::int64_t first_process_start_ms = 1'700'000'000'000;
constexpr std::int64_t second_process_start_ms = first_process_start_ms + 5000;
constexpr std::int64_t clock_lag_ms = 900; // how far the clock of a late heartbeat is behind the newest one

/// Adds a worker that reports its start time.
void add_worker_with_start_time(dispatch_world& world) {
    world.add_worker("w1");
    world.restart_with_same_id("w1", first_process_start_ms);
    for (int round = 0; round < 2;
         ++round) { // the first identifies the incarnation, the second is under its own fence
        world.wait_for_hold("w1");
        world.answer_hold("w1", dispatch_world::make_empty_list());
    }
    static_cast<void>(world.take<hold_order>());
}

/// Takes the starts since the last call and returns the only one.
start_order take_only_start(dispatch_world& world) {
    const auto starts = world.take<start_order>();
    EXPECT_EQ(starts.size(), 1U);
    return starts.at(0);
}

/// Advances the clock until there is a stop, which may wait for the worker's back-off, and returns it.
stop_order wait_for_stop(dispatch_world& world) {
    constexpr int max_rounds = 50;
    for (int round = 0; round < max_rounds; ++round) {
        if (const auto stops = world.take<stop_order>(); !stops.empty()) {
            return stops[0];
        }
        world.advance(milliseconds{20});
    }
    ADD_FAILURE() << "no stop";
    return {};
}

hold_answer make_list_of(const run_key& run) {
    hold_answer list;
    list.running.push_back({run, "", 10, 0});
    return list;
}

/// Fails the holds at w1 until `end`; nothing may be started elsewhere until then.
void fail_holds_until(dispatch_world& world, time_point end) {
    while (world.now < end) {
        if (world.find_worker("w1")->is_hold_pending) {
            world.fail_hold("w1");
        }
        world.advance(milliseconds{25});
        for (const auto& order : world.take<start_order>()) {
            ASSERT_EQ(order.target.worker.id, "w1") << "its lease may still last";
        }
    }
}

TEST(dispatcher_ending, keeps_a_run_that_a_list_lacks_which_was_asked_for_before_its_start_was_answered) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.wait_for_hold("w1"); // its list is written now and arrives late
    world.submit({make_step()});
    const auto order = take_only_start(world);
    world.advance(milliseconds{10});
    world.answer(order);
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, dispatch_world::make_empty_list()},
                            world.now);
    world.run_until_idle();
    const auto* track = world.scheduler.find_track(order.run);
    ASSERT_NE(track, nullptr);
    EXPECT_FALSE(track->is_ending);
    EXPECT_EQ(track->stage, run_stage::running);
}

TEST(dispatcher_ending,
     keeps_a_stopped_run_that_a_list_lacks_which_was_asked_for_before_the_stop_was_answered) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.start_one();
    world.wait_for_hold("w1"); // its list is written now and arrives late
    const auto job = world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::unanswered); // executed after the list was written
    world.cancel(job);
    const auto stop = wait_for_stop(world);
    world.advance(milliseconds{10});
    world.answer(stop);
    world.answer_hold("w1", make_list_of(first.run));
    const auto* track = world.scheduler.find_track(order.run);
    ASSERT_NE(track, nullptr) << "it may take the time of a stop to end";
    EXPECT_FALSE(track->is_ending);
}

TEST(dispatcher_ending, ends_a_stopped_run_once_a_list_requested_after_the_stop_lacks_it) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::unanswered);
    world.cancel(job);
    world.answer(wait_for_stop(world));
    for (int round = 0; round < 2; ++round) { // the first may have been requested before the stop
        world.advance(milliseconds{20});
        world.wait_for_hold("w1");
        world.answer_hold("w1", dispatch_world::make_empty_list());
    }
    EXPECT_EQ(world.scheduler.find_track(order.run), nullptr);
}

TEST(dispatcher_ending, lets_a_list_that_is_cut_short_end_nothing) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto order = world.start_one();
    world.advance(milliseconds{20});
    world.wait_for_hold("w1");
    hold_answer list;
    for (std::uint32_t number = 1; number <= max_ended_rows; ++number) {
        list.ended.push_back({number, {{{77, 0, 0}, number}, 1}, run_end::done, ""});
    }
    world.answer_hold("w1", list);
    const auto* track = world.scheduler.find_track(order.run);
    ASSERT_NE(track, nullptr);
    EXPECT_FALSE(track->is_ending);
}

TEST(dispatcher_ending, takes_no_clock_back_from_which_leases_are_reckoned) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.wait_for_hold("w1");
    world.answer_hold("w1", dispatch_world::make_empty_list());
    const auto before = world.find_worker("w1")->estimate_clock(world.now, dispatch_settings{}.clock_drift);
    auto late = world.find_worker("w1")->report;
    ++late.sequence;
    late.clock_ms = before - clock_lag_ms;
    world.scheduler.on_heartbeat(late, world.now);
    EXPECT_GE(world.find_worker("w1")->estimate_clock(world.now, dispatch_settings{}.clock_drift), before);
    const unchanged_report unchanged{late.incarnation, late.sequence + 1, late.sequence, late.clock_ms};
    world.scheduler.on_unchanged_report(unchanged, world.now);
    EXPECT_GE(world.find_worker("w1")->estimate_clock(world.now, dispatch_settings{}.clock_drift), before);
}

TEST(dispatcher_ending, lets_a_goodbye_end_nothing_before_the_worker_is_known_to_be_gone) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto order = world.start_one();
    world.scheduler.on_deregister(world.get_incarnation("w1"), world.now);
    world.run_until_idle();
    ASSERT_NE(world.scheduler.find_track(order.run), nullptr);
    EXPECT_FALSE(world.scheduler.find_track(order.run)->is_ending);
}

TEST(dispatcher_ending, takes_the_worker_s_word_that_a_run_is_old_for_no_end) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::stale_run);
    ASSERT_NE(world.scheduler.find_track(order.run), nullptr);
    EXPECT_FALSE(world.scheduler.find_track(order.run)->is_ending);
    world.advance(milliseconds{20});
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, order.run, run_end::done, ""});
    world.answer_hold("w1", list);
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::completed);
}

TEST(dispatcher_ending, stops_a_run_that_is_not_to_be_there_until_a_list_lacks_it) {
    dispatch_world world;
    world.add_worker("w1");
    world.send_heartbeat("w1");
    const run_key stray{{{77, 0, 0}, 0}, 1};
    world.start_leading(); // a leader that knows neither the run nor its job
    world.send_heartbeat("w1");
    for (int round = 0; round < 3; ++round) { // the first stops are lost
        world.wait_for_hold("w1");
        const auto holds = world.take<hold_order>();
        ASSERT_EQ(holds.size(), 1U);
        EXPECT_EQ(holds[0].lease_end_ms.has_value(), round == 0)
            << "no lease is renewed for what is not to run there";
        world.answer_hold("w1", make_list_of(stray));
        const auto stops = world.take<stop_order>();
        ASSERT_EQ(stops.size(), 1U);
        EXPECT_EQ(stops[0].run, stray);
    }
    world.wait_for_hold("w1");
    world.answer_hold("w1", dispatch_world::make_empty_list());
    static_cast<void>(world.take<hold_order>());
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<hold_order>().empty()) << "a worker that runs nothing is not asked for a list";
}

TEST(dispatcher_ending, waits_the_lease_with_the_drift_of_the_clock_and_a_margin) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.add_worker("w2");
    const dispatch_settings settings;
    const auto span = std::chrono::duration_cast<duration>(settings.lease * (1 + settings.clock_drift)) +
                      settings.lease_margin;
    auto granted = world.now;
    std::vector<start_order> again;
    while (again.empty() && world.now < granted + 2 * span) {
        if (world.find_worker("w1")->is_hold_pending) {
            world.fail_hold("w1");
        }
        world.advance(
            milliseconds{11}); // not a divisor of a lease: an expired one is noticed in the next step
        for (const auto& hold : world.take<hold_order>()) {
            granted = hold.lease_end_ms.has_value() && hold.target.worker.id == "w1" ? world.now : granted;
        }
        world.send_heartbeat("w2");
        again = world.take<start_order>();
    }
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].target.worker.id, "w2");
    EXPECT_GT(world.now, granted + span);
}

TEST(dispatcher_ending, sends_a_start_again_that_came_after_its_lease) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::lease_already_expired);
    world.advance(milliseconds{100});
    const auto again = take_only_start(world);
    EXPECT_EQ(again.run, order.run);
    EXPECT_GT(again.lease_end_ms, order.lease_end_ms);
}

TEST(dispatcher_ending, takes_a_list_that_hides_its_life_for_no_word_of_another_one) {
    dispatch_world world;
    add_worker_with_start_time(world);
    world.submit({make_step()});
    const auto order = world.start_one();
    world.wait_for_hold("w1");
    hold_answer list;
    list.clock_ms = to_milliseconds(world.now.time_since_epoch());
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
    world.run_until_idle();
    const auto* track = world.scheduler.find_track(order.run);
    ASSERT_NE(track, nullptr);
    EXPECT_FALSE(track->is_ending);
    EXPECT_FALSE(world.find_worker("w1")->is_lost);
}

class dispatcher_refusal : public testing::TestWithParam<order_failure> {};

TEST_P(dispatcher_refusal, of_the_only_start_gives_its_task_back) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, GetParam());
    EXPECT_EQ(world.scheduler.find_track(order.run), nullptr);
    EXPECT_TRUE(world.take<stop_order>().empty());
}

TEST_P(dispatcher_refusal, after_a_start_without_an_answer_gives_nothing_back_before_a_stop) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::unanswered);
    world.add_worker("w2");
    world.advance(milliseconds{200});
    world.answer(take_only_start(world), GetParam());
    ASSERT_NE(world.scheduler.find_track(order.run), nullptr);
    EXPECT_FALSE(world.scheduler.find_track(order.run)->is_ending);
    EXPECT_EQ(world.take<stop_order>().size(), 1U);
    EXPECT_TRUE(world.take<start_order>().empty());
}

INSTANTIATE_TEST_SUITE_P(all, dispatcher_refusal,
                         testing::Values(order_failure::no_capacity, order_failure::no_ticket,
                                         order_failure::unhealthy, order_failure::malformed,
                                         order_failure::lower_fence),
                         [](const auto& item) { return std::string(get_failure_name(item.param)); });

TEST(dispatcher_ending, stops_at_the_next_incarnation_what_the_former_one_had_stopped_before_its_start_came) {
    dispatch_world world;
    add_worker_with_start_time(world);
    const auto job = world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::unanswered);
    world.cancel(job);
    world.answer(wait_for_stop(world));
    world.restart_with_same_id("w1", second_process_start_ms);
    for (int round = 0; round < 2; ++round) {
        world.wait_for_hold("w1");
        world.answer_hold("w1", make_list_of(order.run));
    }
    world.advance(milliseconds{200});
    const auto stop = wait_for_stop(world);
    EXPECT_EQ(stop.run, order.run);
    EXPECT_EQ(stop.target.worker.process_start_ms, second_process_start_ms);
}

TEST(dispatcher_ending, stops_at_the_next_life_what_the_former_one_was_being_told_to_stop) {
    dispatch_world world;
    add_worker_with_start_time(world);
    const auto job = world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::unanswered);
    world.cancel(job);
    const auto former = wait_for_stop(world);
    world.restart_with_same_id("w1", second_process_start_ms);
    for (int round = 0; round < 2; ++round) {
        world.wait_for_hold("w1");
        world.answer_hold("w1", make_list_of(order.run));
    }
    const auto next = wait_for_stop(world);
    EXPECT_EQ(next.target.worker.process_start_ms, second_process_start_ms);
    world.answer(former); // the former incarnation's answer does not count for the next one
    world.answer(next, order_failure::unanswered);
    EXPECT_EQ(wait_for_stop(world).target.worker.process_start_ms, second_process_start_ms);
}

/// Returns how long the longest lease may last at a worker with a slow clock, by the leader's clock.
duration get_longest_span() {
    const dispatch_settings settings;
    return std::chrono::duration_cast<duration>(settings.max_lease * (1 + settings.clock_drift)) +
           settings.lease_margin;
}

TEST(dispatcher_ending,
     waits_the_longest_lease_for_a_start_without_an_answer_that_another_life_may_have_taken) {
    dispatch_world world;
    add_worker_with_start_time(world);
    world.submit({make_step()});
    const auto order = take_only_start(world);
    const auto sent = world.now;
    world.answer(order, order_failure::unanswered);
    world.add_worker("w2");
    fail_holds_until(world, sent + get_longest_span());
    world.send_heartbeat("w2");
    world.advance(seconds{3});
    world.send_heartbeat("w2");
    world.advance(milliseconds{200});
    const auto again = take_only_start(world);
    EXPECT_EQ(again.target.worker.id, "w2");
    EXPECT_EQ(again.run.task, order.run.task);
}

TEST(dispatcher_ending, waits_the_longest_lease_for_what_a_former_leader_may_have_sent_to_another_life) {
    dispatch_world world;
    add_worker_with_start_time(world);
    world.submit({make_step()});
    const auto order = take_only_start(world);
    world.answer(order, order_failure::unanswered);
    world.start_leading();
    const auto led = world.now;
    world.add_worker("w2");
    fail_holds_until(world, led + get_longest_span() - milliseconds{50});
    world.send_heartbeat("w2");
    world.advance(seconds{3});
    world.send_heartbeat("w2");
    world.advance(milliseconds{200});
    const auto again = take_only_start(world);
    EXPECT_EQ(again.target.worker.id, "w2");
    EXPECT_EQ(again.run.task, order.run.task);
}

} // namespace
} // namespace poplarpitch
