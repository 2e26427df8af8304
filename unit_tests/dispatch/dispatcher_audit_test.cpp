// Detection of tasks that are stuck through a fault of the leader or a worker that violates the protocol, and
// of differences between what the leader holds and the replicated job state.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarpitch {
namespace {

/// Applies a command and returns its events, which the leader does not get to know.
std::vector<job_state_event> apply_unnoticed(dispatch_world& world, const job_wire::job_command& command) {
    std::vector<job_state_event> events;
    world.job_state.apply(command, events);
    return events;
}

job_wire::job_command make_assignment(const run_key& run, const std::string& worker) {
    job_wire::job_command command;
    encode(run.task, *command.mutable_assign()->mutable_task());
    command.mutable_assign()->set_run(run.run);
    command.mutable_assign()->set_worker(worker);
    return command;
}

job_wire::job_command make_end(const run_key& run, const std::string& worker, run_end end) {
    job_wire::job_command command;
    encode(run.task, *command.mutable_end()->mutable_task());
    command.mutable_end()->set_run(run.run);
    command.mutable_end()->set_worker(worker);
    command.mutable_end()->set_kind(static_cast<std::uint32_t>(end));
    return command;
}

/// Accepts a job of one task, and returns the events, which the leader does not get to know.
std::vector<job_state_event> accept_unnoticed(dispatch_world& world, job_id id) {
    step_job job;
    job.id = id;
    job.steps = {make_step()};
    job.queue.pool = world_pool;
    job.queue.max_attempts = 3;
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    return apply_unnoticed(world, command);
}

/// Lets w1, which was added without room, report some. The assignments that follow are not committed.
void assign_without_commit(dispatch_world& world) {
    auto report = world.find_worker("w1")->report;
    report.capacity = {64000, 256000, 0};
    ++report.sequence;
    world.scheduler.on_heartbeat(report, world.now);
    world.scheduler.tick(world.now + milliseconds{100}, world.wall_ms);
}

bool has_overdue_fence_raise(const dispatch_world& world) {
    const auto found = world.scheduler.find_differences(world.now);
    return std::any_of(found.begin(), found.end(), [](const leader_difference& difference) {
        return difference.kind == difference_kind::fence_raise;
    });
}

/// Answers the holds at w1 with `list` for `length`.
void answer_holds(dispatch_world& world, const hold_answer& list, duration length) {
    const auto end = world.now + length;
    while (world.now < end) {
        if (world.find_worker("w1")->is_hold_pending) {
            world.answer_hold("w1", list);
        }
        world.advance(milliseconds{100});
    }
}

TEST(dispatcher_audit, finds_nothing_where_tasks_run_wait_or_have_ended) {
    dispatch_world world;
    world.add_worker("w1", {1000, 1000, 0});
    auto second = make_step();
    second.depends_on = {0};
    world.submit({make_step(), second});
    world.submit({make_step()}); // finds no room
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0]);
    hold_answer list;
    list.running.push_back({starts[0].run, "", 10, 0});
    answer_holds(world, list, seconds{8});
    EXPECT_TRUE(world.scheduler.find_stuck(world.now).empty());
    EXPECT_EQ(world.scheduler.get_counts().stuck_tasks, 0U);
}

TEST(dispatcher_audit, finds_a_task_whose_end_a_worker_lists_under_a_number_that_it_used_before) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step(2)});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]);
    world.answer(starts[1]);
    world.wait_for_hold("w1");
    hold_answer list;
    list.running.push_back({starts[1].run, "", 10, 0});
    list.ended.push_back({1, starts[0].run, run_end::done, ""});
    world.answer_hold("w1", list);
    list.running.clear();
    list.ended = {{1, starts[1].run, run_end::done, ""}};
    answer_holds(world, list, seconds{6});
    const std::vector<stuck_task> expected = {{starts[1].run, stuck_reason::not_listed}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
    EXPECT_EQ(world.scheduler.get_counts().stuck_tasks, 1U);
}

TEST(dispatcher_audit, finds_an_end_that_is_not_committed) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0]);
    world.wait_for_hold("w1");
    hold_answer list;
    list.ended.push_back({1, starts[0].run, run_end::done, ""});
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
    EXPECT_EQ(world.scheduler.take_commands().size(), 1U); // the command is lost
    EXPECT_TRUE(world.scheduler.find_stuck(world.now + seconds{5}).empty()) << "a disk may hang for seconds";
    const std::vector<stuck_task> expected = {{starts[0].run, stuck_reason::end_not_committed}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now + seconds{11}), expected);
}

TEST(dispatcher_audit, finds_a_run_that_the_leader_does_not_follow) {
    dispatch_world world;
    const auto job = world.submit({make_step()});
    const run_key run{{{job, 0, 0}, 0}, 1};
    apply_unnoticed(world, make_assignment(run, "w9")); // of another leader, unknown to this one
    const std::vector<stuck_task> expected = {{{run.task, 0}, stuck_reason::not_waiting},
                                              {run, stuck_reason::not_tracked}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
}

TEST(dispatcher_audit, takes_a_task_with_a_run_out_of_the_queue) {
    dispatch_world world;
    const auto job = world.submit({make_step()});
    const run_key run{{{job, 0, 0}, 0}, 1};
    apply_unnoticed(world, make_assignment(run, "w9"));
    EXPECT_EQ(world.scheduler.count_waiting_tasks(), 1U);
    world.advance(seconds{1});
    EXPECT_EQ(world.scheduler.count_waiting_tasks(), 0U);
    EXPECT_EQ(world.scheduler.get_counts().mended_differences, 1U);
    const std::vector<stuck_task> expected = {{run, stuck_reason::not_tracked}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected) << "a start of it may be on its way";
}

TEST(dispatcher_audit, queues_a_ready_task_that_is_in_no_queue) {
    dispatch_world world;
    world.add_worker("w1");
    auto second = make_step();
    second.depends_on = {0};
    world.submit({make_step(), second});
    const auto first = world.start_one();
    for (const auto& event : apply_unnoticed(world, make_end(first.run, "w1", run_end::done))) {
        if (event.what != job_state_event::kind::step_done) {
            world.scheduler.on_event(event, world.now, world.wall_ms);
        }
    }
    const run_key next{{{first.run.task.step.job, 0, 1}, 0}, 0};
    const std::vector<stuck_task> expected = {{next, stuck_reason::not_queued}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
    world.advance(seconds{1});
    world.advance(milliseconds{100}); // the pass that follows the audit
    EXPECT_EQ(world.start_one().run, (run_key{next.task, 1}));
    EXPECT_TRUE(world.scheduler.find_stuck(world.now).empty());
}

TEST(dispatcher_audit, takes_a_task_of_an_occurrence_out_of_the_queue_that_has_a_run) {
    dispatch_world world;
    job_schedule schedule;
    schedule.first_ms = world.wall_ms + 1000;
    schedule.interval_ms = 60'000;
    schedule.count = 2;
    const auto job = world.submit_timed({make_step()}, schedule);
    world.advance(milliseconds{1100});
    EXPECT_EQ(world.scheduler.count_waiting_tasks(), 1U);
    EXPECT_TRUE(world.scheduler.find_stuck(world.now).empty());
    apply_unnoticed(world, make_assignment({{{job, 0, 0}, 0}, 1}, "w9"));
    world.advance(seconds{1});
    EXPECT_EQ(world.scheduler.count_waiting_tasks(), 0U);
}

TEST(dispatcher_audit, gives_up_a_run_that_has_ended_by_the_replicated_job_state) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto first = world.start_one();
    apply_unnoticed(world, make_end(first.run, "w1", run_end::not_started));
    const std::vector<stuck_task> expected = {{first.run, stuck_reason::not_assigned}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
    world.advance(seconds{1});
    world.advance(milliseconds{100});
    EXPECT_EQ(world.start_one().run, (run_key{first.run.task, 2}));
    EXPECT_EQ(world.scheduler.find_track(first.run), nullptr);
    EXPECT_TRUE(world.scheduler.find_stuck(world.now).empty());
}

TEST(dispatcher_audit, opens_a_job_that_was_accepted_unnoticed) {
    dispatch_world world;
    world.add_worker("w1");
    accept_unnoticed(world, 77);
    const std::vector<stuck_task> expected = {{{{{77, 0, 0}, 0}, 0}, stuck_reason::not_opened}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
    world.advance(seconds{1});
    world.advance(milliseconds{100});
    EXPECT_EQ(world.start_one().run, (run_key{{{77, 0, 0}, 0}, 1}));
}

TEST(dispatcher_audit, closes_a_job_that_has_ended_unnoticed) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto started = world.start_one();
    job_wire::job_command command;
    command.mutable_cancel()->set_id(job);
    apply_unnoticed(world, command);
    const std::vector<stuck_task> expected = {{{{{job, 0, 0}, 0}, 0}, stuck_reason::not_closed}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now), expected);
    world.advance(seconds{1});
    const auto stops = world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].run, started.run);
    EXPECT_EQ(world.scheduler.count_open_jobs(), 0U);
}

TEST(dispatcher_audit, finds_an_assignment_that_is_not_committed) {
    dispatch_world world;
    const auto job = world.submit({make_step()});
    world.add_worker("w1", {0, 0, 0});
    assign_without_commit(world);
    EXPECT_EQ(world.scheduler.take_commands().size(), 1U); // the command is lost
    EXPECT_TRUE(world.scheduler.find_stuck(world.now + seconds{9}).empty()) << "a disk may hang for seconds";
    const std::vector<stuck_task> expected = {{{{{job, 0, 0}, 0}, 1}, stuck_reason::not_committed}};
    EXPECT_EQ(world.scheduler.find_stuck(world.now + seconds{11}), expected);
}

TEST(dispatcher_audit, takes_no_member_of_a_gang_for_stuck_whose_run_number_skips_one) {
    dispatch_world world;
    auto gang = make_step(2);
    gang.gang = true;
    gang.max_per_worker = 1;
    const auto job = world.submit({gang});
    // An earlier run of the first member alone, as when the assignment of the second one was refused.
    const run_key first{{{job, 0, 0}, 0}, 1};
    for (const auto& command : {make_assignment(first, "w9"), make_end(first, "w9", run_end::not_started)}) {
        apply_unnoticed(world, command);
    }
    world.add_worker("w1", {0, 0, 0});
    world.add_worker("w2");
    assign_without_commit(world);
    EXPECT_EQ(world.scheduler.take_commands().size(), 2U) << "the assignments are being committed";
    EXPECT_TRUE(world.scheduler.find_stuck(world.now).empty());
}

TEST(dispatcher_audit, recounts_what_a_worker_has_reserved) {
    dispatch_world world;
    world.add_worker("w1");
    const auto accepted = accept_unnoticed(world, 77);
    ASSERT_EQ(accepted.size(), 1U);
    for (int time = 0; time < 2; ++time) { // the leader gets to know of it twice, and assigns its task twice
        world.scheduler.on_event(accepted[0], world.now, world.wall_ms);
        world.scheduler.tick(world.now, world.wall_ms);
    }
    world.run_until_idle();
    const std::vector<leader_difference> expected = {
        {difference_kind::reserved, world.get_incarnation("w1"), {}}};
    EXPECT_EQ(world.scheduler.find_differences(world.now), expected);
    EXPECT_EQ(world.find_worker("w1")->reserved, get_need(make_step()));
    world.advance(seconds{1});
    EXPECT_EQ(world.find_worker("w1")->reserved, worker_amounts{});
    EXPECT_TRUE(world.scheduler.find_differences(world.now).empty());
}

TEST(dispatcher_audit, gives_up_the_runs_of_a_worker_whose_hold_has_no_outcome) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.wait_for_hold("w1"); // never comes to an end
    const auto expires_at = world.find_worker("w1")->hold_expires_at;
    EXPECT_TRUE(world.scheduler.find_differences(expires_at + milliseconds{2900}).empty());
    const std::vector<leader_difference> expected = {
        {difference_kind::hold, world.get_incarnation("w1"), milliseconds{3100}}};
    EXPECT_EQ(world.scheduler.find_differences(expires_at + milliseconds{3100}), expected);
    world.add_worker("w2");
    std::vector<start_order> starts;
    const auto sent = world.now;
    while (starts.empty() && world.now < sent + seconds{30}) {
        world.advance(milliseconds{100});
        starts = world.take<start_order>();
    }
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target.worker.id, "w2");
    EXPECT_GT(world.now - sent, seconds{7}) << "its lease has to lapse first";
    EXPECT_LT(world.now - sent, seconds{9});
}

TEST(dispatcher_audit, takes_a_late_answer_to_a_hold_that_was_overdue) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto start = world.start_one();
    world.wait_for_hold("w1");
    world.advance(seconds{6});
    EXPECT_EQ(world.find_worker("w1")->hold_failures, 1);
    EXPECT_TRUE(world.find_worker("w1")->is_hold_pending) << "a later hold would take its answer";
    hold_answer list;
    list.running.push_back({start.run, "", 10, 0});
    world.answer_hold("w1", list);
    EXPECT_EQ(world.find_worker("w1")->hold_failures, 0);
    EXPECT_NE(world.scheduler.find_track(start.run), nullptr);
    EXPECT_TRUE(world.scheduler.find_differences(world.now).empty());
}

TEST(dispatcher_audit, raises_the_fence_again_when_its_commit_is_overdue) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    world.start_one();
    world.restart_with_same_id("w1", 1'700'000'000'000);
    world.wait_for_hold("w1");
    hold_answer list;
    list.clock_ms = to_milliseconds(world.now.time_since_epoch());
    list.process_start_ms = world.get_incarnation("w1").process_start_ms;
    world.scheduler.on_hold(world.get_incarnation("w1"), {std::nullopt, list}, world.now);
    const auto commands = world.scheduler.take_commands();
    EXPECT_TRUE(std::any_of(commands.begin(), commands.end(),
                            [](const auto& command) { return command.has_raise_fence(); }));
    const auto raises = world.job_state.get_fence_raises(); // the command is lost
    for (int second = 0; second < 9; ++second) {
        world.send_heartbeat("w1");
        world.advance(seconds{1});
    }
    EXPECT_FALSE(has_overdue_fence_raise(world)) << "a disk may hang for seconds";
    EXPECT_EQ(world.job_state.get_fence_raises(), raises);
    EXPECT_TRUE(world.find_worker("w1")->awaits_fence);
    for (int second = 0; second < 3; ++second) {
        world.send_heartbeat("w1");
        world.advance(seconds{1});
    }
    EXPECT_EQ(world.job_state.get_fence_raises(), raises + 1);
    EXPECT_FALSE(world.find_worker("w1")->awaits_fence);
}

TEST(dispatcher_audit, gives_up_a_call_for_advice_that_has_no_outcome) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit_with_advice({make_step()});
    const auto first = world.take<advice_request>();
    ASSERT_EQ(first.size(), 1U);
    world.advance(first[0].timeout + milliseconds{500});
    EXPECT_TRUE(world.take<advice_request>().empty());
    world.advance(seconds{1});
    world.advance(seconds{1});
    const auto second = world.take<advice_request>();
    ASSERT_EQ(second.size(), 1U);
    world.scheduler.on_advice(first[0], {true, {{"w1", "old"}}}, world.now);
    world.run_until_idle();
    EXPECT_TRUE(world.take<start_order>().empty()) << "its ticket may have run out";
    world.scheduler.on_advice(second[0], {true, {{"w1", "new"}}}, world.now);
    world.run_until_idle();
    EXPECT_EQ(world.start_one().ticket, "new");
}

} // namespace
} // namespace poplarpitch
