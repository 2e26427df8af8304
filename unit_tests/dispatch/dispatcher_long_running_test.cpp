// How long a long-running task stands still, from the end of its last run at its worker to its next start.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"
#include "unit_tests/dispatch/vanishing_worker.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

// A long-running task has to be started within 6 s of the end of its last run, and may stand still beside
// free room for 3 s more.
constexpr duration max_standstill = seconds{9};
constexpr duration limit = seconds{20};

step_spec make_serving_step(std::int64_t millicores = 1000) {
    auto step = make_step();
    step.millicores = millicores;
    step.long_running = true;
    step.target_ms = 100;
    step.image = "watch";
    return step;
}

/// Submits a long-running task and returns its start, which is not answered. Without another worker it first
/// waits, since its worker is kept for short tasks.
start_order submit_serving(dispatch_world& world) {
    world.submit({make_serving_step()});
    auto starts = world.take<start_order>();
    while (starts.empty()) {
        world.advance(milliseconds{20});
        starts = world.take<start_order>();
    }
    return starts[0];
}

start_order start_serving(dispatch_world& world) {
    auto start = submit_serving(world);
    world.answer(start);
    return start;
}

/// Answers the worker's holds with its only run for a second, and leaves the last one just sent.
void settle(dispatch_world& world, const start_order& run) {
    const auto& id = run.target.worker.id;
    hold_answer list;
    list.running.push_back({run.run, {}, 100, 10});
    for (int round = 0; round < 20; ++round) {
        world.wait_for_hold(id);
        world.answer_hold(id, list);
        world.advance(milliseconds{50});
    }
    world.wait_for_hold(id);
}

/// Starts a long-running task on the only worker, then adds two workers that can take it over.
start_order run_on_first_worker(dispatch_world& world) {
    auto run = start_serving(world);
    world.add_worker("w2");
    world.add_worker("w3");
    settle(world, run);
    return run;
}

void expect_in_time(const std::optional<duration>& standstill) {
    ASSERT_TRUE(standstill.has_value()) << "it was not started again";
    EXPECT_LE(to_milliseconds(*standstill), to_milliseconds(max_standstill));
}

TEST(dispatcher_long_running, is_started_again_in_time_when_its_worker_vanishes) {
    dispatch_world world;
    world.add_worker("w1");
    const auto run = run_on_first_worker(world);
    vanishing_worker w1(world, "w1");
    expect_in_time(w1.wait_for_restart(run.run.task, limit));
}

TEST(dispatcher_long_running, is_started_again_in_time_when_starts_are_sent_to_the_worker_that_vanished) {
    dispatch_world world;
    world.add_worker("w1");
    const auto run = start_serving(world);
    settle(world, run);
    vanishing_worker w1(world, "w1");
    EXPECT_FALSE(w1.wait_for_restart(run.run.task, milliseconds{1500}).has_value());
    world.submit({make_step()});
    world.add_worker("w2");
    world.add_worker("w3");
    expect_in_time(w1.wait_for_restart(run.run.task, limit));
}

TEST(dispatcher_long_running, is_started_again_in_time_when_a_relay_reports_holds_as_not_sent) {
    dispatch_world world;
    world.add_worker("w1");
    const auto run = run_on_first_worker(world);
    vanishing_worker w1(world, "w1");
    w1.set_hold_failure(order_failure::not_sent);
    expect_in_time(w1.wait_for_restart(run.run.task, limit));
}

TEST(dispatcher_long_running, does_not_wait_again_for_a_worker_that_is_kept_for_short_tasks) {
    dispatch_world world;
    world.add_worker("w1");
    const auto run = start_serving(world);
    world.add_worker("w2");
    settle(world, run);
    vanishing_worker w1(world, "w1");
    expect_in_time(w1.wait_for_restart(run.run.task, limit));
}

/// Adds a worker that reports when its process started.
void add_worker_with_start_time(dispatch_world& world, const std::string& id) {
    constexpr std::int64_t process_start_ms = 5000;
    world.add_worker(id);
    world.restart_with_same_id(id, process_start_ms);
    while (!world.find_worker(id)->is_confirmed) {
        world.wait_for_hold(id);
        world.answer_hold(id, dispatch_world::make_empty_list());
    }
}

/// Elects another leader, which takes a second.
void elect_leader(dispatch_world& world) {
    world.now += seconds{1};
    world.start_leading();
}

TEST(dispatcher_long_running, is_started_again_in_time_when_its_worker_and_the_leader_vanish_together) {
    dispatch_world world;
    add_worker_with_start_time(world, "w1");
    const auto run = run_on_first_worker(world);
    vanishing_worker w1(world, "w1");
    elect_leader(world);
    expect_in_time(w1.wait_for_restart(run.run.task, limit));
}

TEST(dispatcher_long_running,
     is_started_again_in_time_when_a_relay_reports_the_vanished_worker_to_a_new_leader) {
    dispatch_world world;
    world.add_worker("w1");
    const auto run = run_on_first_worker(world);
    vanishing_worker w1(world, "w1");
    elect_leader(world);
    world.advance(milliseconds{600});
    world.send_heartbeat("w1");
    expect_in_time(w1.wait_for_restart(run.run.task, limit));
}

TEST(dispatcher_long_running, holds_no_lease_of_a_new_leader_before_its_worker_has_answered) {
    dispatch_world world;
    world.add_worker("w1");
    const auto run = start_serving(world);
    settle(world, run);
    elect_leader(world);
    world.take<hold_order>();
    world.send_heartbeat("w1");
    world.wait_for_hold("w1");
    const auto first = world.take<hold_order>();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_FALSE(first[0].lease_end_ms.has_value()) << "a relay may report a worker that has vanished";
    hold_answer list;
    list.running.push_back({run.run, {}, 100, 10});
    world.answer_hold("w1", list);
    world.wait_for_hold("w1");
    const auto second = world.take<hold_order>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_TRUE(second[0].lease_end_ms.has_value());
}

TEST(dispatcher_long_running, is_not_started_elsewhere_while_a_start_may_have_reached_a_restarted_worker) {
    dispatch_world world;
    add_worker_with_start_time(world, "w1");
    const auto run = submit_serving(world);
    world.answer(run, order_failure::unanswered);
    world.add_worker("w2");
    world.add_worker("w3");
    vanishing_worker w1(world, "w1");
    elect_leader(world);
    const auto standstill = w1.wait_for_restart(run.run.task, limit);
    ASSERT_TRUE(standstill.has_value());
    EXPECT_GT(*standstill, dispatch_settings{}.max_lease);
}

TEST(dispatcher_long_running, is_started_elsewhere_in_time_when_the_room_of_its_worker_is_no_longer_known) {
    dispatch_world world;
    world.configure_pool(false);
    world.add_worker("w1");
    world.add_worker("w2");
    world.add_worker("w3");
    const auto waits_since = world.now;
    auto start = submit_serving(world);
    const auto first = start.target.worker.id;
    while (start.target.worker.id == first && world.now - waits_since < limit) {
        world.answer(start, order_failure::unreachable);
        std::vector<start_order> starts;
        while (starts.empty() && world.now - waits_since < limit) {
            world.advance(milliseconds{20});
            for (const auto* id : {"w1", "w2", "w3"}) {
                if (id != first) {
                    world.send_heartbeat(id);
                }
                if (world.find_worker(id)->is_hold_pending) {
                    world.answer_hold(id, dispatch_world::make_empty_list());
                }
            }
            starts = world.take<start_order>();
        }
        start = starts.empty() ? start : starts[0];
    }
    EXPECT_NE(start.target.worker.id, first);
    EXPECT_LE(to_milliseconds(world.now - waits_since), to_milliseconds(max_standstill));
}

TEST(dispatcher_long_running, gets_no_second_run_when_a_stopped_start_may_reach_the_next_incarnation) {
    dispatch_world world;
    add_worker_with_start_time(world, "w1");
    const auto start = submit_serving(world);
    world.cancel(start.run.task.step.job);
    const auto stops = world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    world.answer(stops[0], order_failure::unanswered);
    world.restart_with_same_id("w1", 9000);
    world.wait_for_hold("w1");
    world.answer_hold("w1", dispatch_world::make_empty_list());
    EXPECT_NE(world.scheduler.find_track(start.run), nullptr) << "its start may reach the next incarnation";
}

/// Fails runs of two jobs at a worker, so that it is set aside. `times` doubles the time.
void set_aside(dispatch_world& world, const std::string& id, int times) {
    std::uint64_t number = 0;
    for (int round = 0; round < 2 * times; ++round) {
        world.submit({make_step()}, 1);
        auto starts = world.take<start_order>();
        for (int waited = 0; starts.empty() && waited < 500; ++waited) {
            world.advance(milliseconds{50});
            starts = world.take<start_order>();
        }
        ASSERT_EQ(starts.size(), 1U);
        world.answer(starts[0]);
        world.wait_for_hold(id);
        hold_answer list;
        list.ended.push_back({++number, starts[0].run, run_end::failed, {}});
        world.answer_hold(id, list);
    }
}

TEST(dispatcher_long_running, uses_a_worker_that_is_set_aside_when_no_other_has_room) {
    dispatch_world world;
    world.add_worker("w1");
    set_aside(world, "w1", 3);
    world.submit({make_serving_step()});
    const auto waits_since = world.now;
    while (world.take<start_order>().empty() && world.now - waits_since < limit) {
        world.advance(milliseconds{20});
    }
    EXPECT_LE(to_milliseconds(world.now - waits_since), 3000);
}

TEST(dispatcher_long_running, does_not_repeat_a_refused_start_at_once_when_it_has_waited_for_long) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_serving_step()});
    int refused = 0;
    for (int round = 0; round < 300; ++round) {
        world.advance(milliseconds{20});
        for (const auto& start : world.take<start_order>()) {
            world.answer(start, order_failure::no_capacity);
            ++refused;
        }
        if (world.find_worker("w1")->is_hold_pending) {
            world.answer_hold("w1", dispatch_world::make_empty_list());
        }
        world.send_heartbeat("w1");
    }
    EXPECT_GT(refused, 1);
    EXPECT_LE(refused, 6000 / 700 + 1) << "a worker that refused a start gets none for 0.7 s";
}

} // namespace
} // namespace poplarpitch
