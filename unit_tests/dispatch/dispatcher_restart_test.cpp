// Workers that restart under the same ids: the state of the former incarnation does not apply to the next
// one.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::int64_t first_process_start_ms = 1'700'000'000'000;
constexpr std::int64_t second_process_start_ms = first_process_start_ms + 5000;
constexpr std::int64_t earlier_time = first_process_start_ms - 60'000; // by a clock that was stepped back

/// Adds a worker that reports its start time.
void add_worker(dispatch_world& world, const std::string& id = "w1") {
    world.add_worker(id);
    world.restart_with_same_id(id, first_process_start_ms);
    world.wait_for_hold(id);
    world.answer_hold(id, dispatch_world::make_empty_list());
    world.wait_for_hold(id);
    world.answer_hold(id, dispatch_world::make_empty_list());
    static_cast<void>(world.take<hold_order>());
}

void list_end(dispatch_world& world, std::uint64_t number, const start_order& order, run_end end) {
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({number, order.run, end, ""});
    world.answer_hold("w1", list);
}

/// Restarts the worker under its id and answers its holds until it is usable.
void restart_and_confirm(dispatch_world& world, std::int64_t process_start_ms, const hold_answer& list = {}) {
    world.restart_with_same_id("w1", process_start_ms);
    for (int round = 0; round < 2;
         ++round) { // the first identifies the incarnation, the second is under its own fence
        world.wait_for_hold("w1");
        world.answer_hold("w1", list);
    }
}

/// Returns how long the longest lease may last at a worker with a slow clock, by the leader's clock.
duration get_longest_span() {
    const dispatch_settings settings;
    return std::chrono::duration_cast<duration>(settings.max_lease * (1 + settings.clock_drift)) +
           settings.lease_margin;
}

std::uint64_t get_last_acknowledged(dispatch_world& world) {
    const auto holds = world.take<hold_order>();
    EXPECT_FALSE(holds.empty());
    return holds.empty() ? 0 : holds.back().acknowledged_up_to;
}

TEST(dispatcher_restart, acknowledges_to_the_next_incarnation_nothing_that_the_former_one_listed) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    list_end(world, 7, world.start_one(), run_end::done);
    world.wait_for_hold("w1");
    EXPECT_EQ(get_last_acknowledged(world), 7U);
    restart_and_confirm(world, second_process_start_ms);
    world.submit({make_step()});
    world.start_one();
    world.wait_for_hold("w1");
    EXPECT_EQ(get_last_acknowledged(world), 0U);
}

TEST(dispatcher_restart, takes_up_the_first_end_that_the_next_life_lists) {
    dispatch_world world;
    add_worker(world);
    auto long_running_step = make_step();
    long_running_step.long_running = true;
    world.submit({make_step()});
    list_end(world, 7, world.start_one(), run_end::done);
    restart_and_confirm(world, second_process_start_ms);
    world.submit({long_running_step});
    const auto first = world.start_one();
    list_end(world, 1, first, run_end::failed);
    world.advance(milliseconds{200});
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].run.run, first.run.run);
}

TEST(dispatcher_restart, takes_up_an_end_of_the_former_life_once_that_is_not_committed_yet) {
    dispatch_world world;
    add_worker(world);
    const auto job = world.submit({make_step()});
    const auto order = world.start_one();
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, order.run, run_end::done, ""});
    list.process_start_ms = first_process_start_ms;
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list},
                            world.now); // not committed yet
    world.restart_with_same_id("w1", second_process_start_ms);
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::completed);
    world.wait_for_hold("w1");
    world.answer_hold("w1", dispatch_world::make_empty_list());
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty());
}

TEST(dispatcher_restart, gives_up_no_start_that_was_answered_after_the_next_lifes_list_was_asked_for) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    world.start_one();
    world.wait_for_hold(
        "w1"); // the process ends, and the next incarnation receives this hold and then the start
    world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    const auto& start = starts[0];
    world.advance(milliseconds{10});
    world.answer(start);
    hold_answer list;
    list.process_start_ms = second_process_start_ms;
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
    world.add_worker("w2");
    for (const auto& other : world.take<start_order>()) {
        EXPECT_NE(other.run.task, start.run.task) << "it runs at the next incarnation";
    }
    list.running.push_back({start.run, "", 50, 0});
    restart_and_confirm(world, second_process_start_ms, list);
    world.advance(seconds{1});
    for (const auto& other : world.take<start_order>()) {
        EXPECT_NE(other.run.task, start.run.task) << "it runs at the next incarnation";
    }
    const auto* track = world.scheduler.find_track(start.run);
    ASSERT_NE(track, nullptr);
    EXPECT_EQ(track->stage, run_stage::running);
    EXPECT_EQ(track->host->report.incarnation.process_start_ms, second_process_start_ms);
}

TEST(dispatcher_restart, gives_up_at_once_what_ran_on_the_former_incarnation) {
    dispatch_world world;
    add_worker(world);
    const auto job = world.submit({make_step()});
    const auto first = world.start_one();
    restart_and_confirm(world, second_process_start_ms);
    world.advance(milliseconds{200});
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].run.run, first.run.run);
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.crashes, 1U);
}

TEST(dispatcher_restart, is_noticed_by_a_list_before_any_heartbeat) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    world.start_one();
    world.wait_for_hold("w1");
    hold_answer list;
    list.process_start_ms = second_process_start_ms;
    list.clock_ms = 1;
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
    world.run_until_idle();
    EXPECT_TRUE(world.find_worker("w1")->is_lost);
    const auto* next = world.scheduler.find_worker_state({"w1", second_process_start_ms});
    ASSERT_NE(next, nullptr);
    EXPECT_FALSE(next->is_confirmed);
}

TEST(dispatcher_restart, is_known_by_a_later_answer_though_its_start_time_is_earlier) {
    dispatch_world world;
    add_worker(world);
    restart_and_confirm(world, earlier_time);
    EXPECT_TRUE(world.find_worker("w1")->is_confirmed);
    EXPECT_TRUE(world.scheduler.find_worker_state({"w1", first_process_start_ms}) == nullptr ||
                world.scheduler.find_worker_state({"w1", first_process_start_ms})->is_lost);
}

TEST(dispatcher_restart, is_not_inferred_from_a_late_heartbeat_of_an_earlier_incarnation) {
    dispatch_world world;
    add_worker(world);
    worker_report late = world.find_worker("w1")->report;
    late.incarnation.process_start_ms =
        second_process_start_ms; // later than the start time of the incarnation that answers
    late.sequence = 3;
    world.scheduler.on_heartbeat(late, world.now);
    world.advance(milliseconds{20});
    hold_answer list;
    list.process_start_ms = first_process_start_ms;
    list.clock_ms = to_milliseconds(world.now.time_since_epoch());
    world.scheduler.on_hold(late.incarnation, {std::nullopt, list}, world.now);
    world.run_until_idle();
    EXPECT_FALSE(world.find_worker("w1")->is_lost);
    world.scheduler.on_heartbeat(late, world.now);
    world.run_until_idle();
    EXPECT_TRUE(world.scheduler.find_worker_state(late.incarnation) == nullptr ||
                world.scheduler.find_worker_state(late.incarnation)->is_lost);
}

TEST(dispatcher_restart, is_not_undone_by_a_late_heartbeat_or_goodbye_of_the_former_life) {
    dispatch_world world;
    add_worker(world);
    auto late = world.find_worker("w1")->report;
    restart_and_confirm(world, second_process_start_ms);
    late.sequence += 100;
    late.is_draining = true;
    EXPECT_FALSE(world.scheduler.on_heartbeat(late, world.now)) << "nothing is committed for it";
    world.scheduler.on_deregister(late.incarnation, world.now);
    world.scheduler.on_deregister({"w1", 0}, world.now);
    world.run_until_idle();
    EXPECT_FALSE(world.find_worker("w1")->is_draining);
    world.submit({make_step()});
    EXPECT_EQ(world.take<start_order>().size(), 1U);
}

TEST(dispatcher_restart, makes_the_worker_usable_again_after_the_former_incarnation_left) {
    dispatch_world world;
    add_worker(world);
    world.send_heartbeat("w1", true, 2000);
    EXPECT_TRUE(world.job_state.is_retired({"w1", first_process_start_ms}));
    restart_and_confirm(world, second_process_start_ms);
    world.submit({make_step()});
    EXPECT_EQ(world.take<start_order>().size(), 1U);
}

TEST(dispatcher_restart, raises_the_fence_before_the_next_life_is_used) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    const auto before = world.start_one();
    restart_and_confirm(world, second_process_start_ms);
    world.advance(milliseconds{200});
    const auto after = world.take<start_order>();
    ASSERT_EQ(after.size(), 1U);
    EXPECT_GT(after[0].target.fence, before.target.fence);
    const auto raised = after[0].target.fence;
    world.start_leading();
    world.send_heartbeat("w1");
    world.wait_for_hold("w1");
    const auto holds = world.take<hold_order>();
    ASSERT_FALSE(holds.empty());
    EXPECT_GT(holds.back().target.fence, raised) << "no later leader uses the same one";
}

TEST(dispatcher_restart, follows_a_start_without_an_answer_to_the_next_life) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.restart_with_same_id("w1", second_process_start_ms);
    world.wait_for_hold("w1");
    world.answer_hold("w1", dispatch_world::make_empty_list()); // under the same fence as the start
    world.advance(milliseconds{50});
    EXPECT_TRUE(world.take<start_order>().empty()) << "the first start may still be executed";
    world.wait_for_hold("w1");
    hold_answer list;
    list.running.push_back({starts[0].run, "", 10, 0});
    world.answer_hold("w1", list);
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty());
    list_end(world, 1, starts[0], run_end::done);
    EXPECT_EQ(world.job_state.find_job(starts[0].run.task.step.job)->phase, job_phase::completed);
    world.wait_for_hold("w1");
    EXPECT_EQ(get_last_acknowledged(world), 1U);
}

TEST(dispatcher_restart, starts_a_task_again_whose_start_the_next_life_never_got) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    ASSERT_EQ(world.take<start_order>().size(), 1U);
    restart_and_confirm(world, second_process_start_ms);
    world.advance(milliseconds{200});
    EXPECT_EQ(world.take<start_order>().size(), 1U);
}

TEST(dispatcher_restart, waits_for_the_longest_lease_where_a_start_may_have_reached_the_next_incarnation) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    ASSERT_EQ(world.take<start_order>().size(), 1U);
    world.restart_with_same_id("w1", second_process_start_ms);
    world.wait_for_hold("w1");
    world.answer_hold("w1", dispatch_world::make_empty_list());
    const auto since = world.now;
    world.add_worker("w2");
    const auto longest = get_longest_span();
    while (world.now < since + longest - milliseconds{100}) { // unreachable from now on
        if (world.find_worker("w1")->is_hold_pending) {
            world.fail_hold("w1");
        }
        world.advance(milliseconds{50});
    }
    EXPECT_TRUE(world.take<start_order>().empty());
    world.advance(seconds{1});
    EXPECT_EQ(world.take<start_order>().size(), 1U);
}

TEST(dispatcher_restart, is_not_suspected_when_an_answer_is_slow) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    const auto clock_ms = to_milliseconds(world.now.time_since_epoch()); // as the worker received the start
    world.advance(milliseconds{800});
    world.scheduler.on_start(starts[0].run, {std::nullopt, clock_ms}, world.now);
    EXPECT_LT(world.find_worker("w1")->lease_end, world.now + get_longest_span());
}

TEST(dispatcher_restart, is_suspected_when_the_clock_restarts) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.scheduler.on_start(starts[0].run, {std::nullopt, 5}, world.now);
    EXPECT_GE(world.find_worker("w1")->lease_end, world.now + get_longest_span());
}

TEST(dispatcher_restart, is_detected_by_a_new_leader_that_knows_only_the_job_state) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    const auto first = world.start_one();
    EXPECT_EQ(world.job_state.find_task(first.run.task)->runs.at(0).worker,
              (worker_incarnation{"w1", first_process_start_ms}));
    world.start_leading();
    restart_and_confirm(world, second_process_start_ms);
    world.advance(milliseconds{200});
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].run.run, first.run.run);
}

TEST(dispatcher_restart, follows_the_list_for_a_run_that_was_assigned_without_a_start_time) {
    dispatch_world world;
    world.add_worker("w1"); // as an older version knows it
    world.submit({make_step(2)});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]);
    world.answer(starts[1]);
    world.start_leading();
    hold_answer list;
    list.running.push_back({starts[0].run, "", 10, 0});
    restart_and_confirm(world, first_process_start_ms,
                        list); // the same process, which now reports its start time
    world.advance(milliseconds{200});
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].run.task, starts[1].run.task);
    EXPECT_EQ(world.job_state.find_task(starts[1].run.task)->crash.crashes, 0U);
}

TEST(dispatcher_restart, is_not_disturbed_by_a_report_without_a_start_time) {
    dispatch_world world;
    add_worker(world);
    auto report = world.find_worker("w1")->report;
    report.incarnation.process_start_ms = 0;
    report.sequence = 1000;
    report.capacity = {};
    world.scheduler.on_heartbeat(report, world.now);
    EXPECT_EQ(world.scheduler.find_worker_state(report.incarnation), nullptr);
    world.submit({make_step()});
    EXPECT_EQ(world.take<start_order>().size(), 1U);
}

TEST(dispatcher_restart, is_known_by_the_start_time_of_its_list_where_its_reports_omit_it) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    for (int round = 0; round < 2; ++round) {
        while (!std::any_of(world.scheduler.get_workers().begin(), world.scheduler.get_workers().end(),
                            [](const auto& item) { return item.second.is_hold_pending; })) {
            world.advance(milliseconds{20});
        }
        for (const auto& [incarnation, state] : std::map(world.scheduler.get_workers())) {
            hold_answer list;
            list.process_start_ms = first_process_start_ms;
            list.clock_ms = 1000;
            world.scheduler.on_hold(incarnation, {std::nullopt, list}, world.now);
        }
        world.run_until_idle();
    }
    const auto* state = world.scheduler.find_worker_state({"w1", first_process_start_ms});
    ASSERT_NE(state, nullptr);
    EXPECT_TRUE(state->has_report && state->is_confirmed);
}

TEST(dispatcher_restart, ignores_a_list_without_a_start_time) {
    dispatch_world world;
    add_worker(world);
    world.submit({make_step()});
    const auto order = world.start_one();
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, order.run, run_end::done, ""});
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
    world.run_until_idle();
    EXPECT_EQ(world.job_state.find_job(order.run.task.step.job)->phase, job_phase::open);
}

} // namespace
} // namespace poplarpitch
