// Tasks that crash their workers.
//
// Two tasks were started 31 times each within 126 s. Each start crashed a worker within 10 ms, together with
// eight other runs on average; 286 workers restarted as new incarnations, each three seconds later. The
// leader attributed every loss to the worker: a run that ended because its worker was lost counted against
// nothing. So the task was ready again at once and was assigned to the next worker, before and after a change
// of the leader. These log lines showed it:
//   event=run_started ... run=6 worker=i-57a91c9ea3 wait_ms=19
//   event=worker_silent worker=i-57a91c9ea3 reason=unreachable runs=9     (0.14 s later)
//   event=worker_lost worker=i-57a91c9ea3 reason=another_life_answers runs=9     (3.1 s later)
//   event=run_ended ... run=6 worker=i-57a91c9ea3 end=lost
//   event=run_started ... run=7 worker=i-7f453ac0e7 wait_ms=31
// Since then the replicated state counts the crashes of each task, and a task is given up after two or three.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

// After three crashes a task may be started at most twice more.
constexpr int max_starts = 5;
constexpr int round_count = 12;
constexpr duration restart_time = seconds{3};

void add_workers(dispatch_world& world, int count) {
    for (int number = 1; number <= count; ++number) {
        world.add_worker("w" + std::to_string(number));
    }
}

/// Crashes the worker at each start of the job and restarts it as a new incarnation. Returns the number of
/// starts.
int crash_at_each_start(dispatch_world& world, job_id crashing_job, int rounds) {
    int starts = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& order : world.take<start_order>()) {
            world.answer(order);
            if (order.run.task.step.job == crashing_job) {
                ++starts;
                world.advance(milliseconds{10});
                const auto& worker = order.target.worker.id;
                world.restart_with_new_id(worker, worker + "+");
            }
        }
        world.advance(restart_time);
    }
    return starts;
}

TEST(dispatcher_crash, gives_up_a_task_that_crashes_every_worker_that_starts_it) {
    dispatch_world world;
    add_workers(world, 4);
    const auto crashing_job = world.submit({make_step()});
    EXPECT_LE(crash_at_each_start(world, crashing_job, round_count), max_starts);
    EXPECT_EQ(world.job_state.find_job(crashing_job)->phase, job_phase::failed);
}

TEST(dispatcher_crash, keeps_counting_under_a_new_leader) {
    dispatch_world world;
    add_workers(world, 4);
    const auto crashing_job = world.submit({make_step()});
    int starts = 0;
    for (int leader = 0; leader < round_count; ++leader) {
        starts += crash_at_each_start(world, crashing_job, 1);
        world.start_leading();
        for (const auto& [incarnation, worker] : std::map(world.scheduler.get_workers())) {
            world.send_heartbeat(incarnation.id);
        }
        for (const auto& [incarnation, worker] : std::map(world.scheduler.get_workers())) {
            world.wait_for_hold(incarnation.id);
            world.answer_hold(incarnation.id, dispatch_world::make_empty_list());
        }
    }
    EXPECT_LE(starts, max_starts);
    EXPECT_EQ(world.job_state.find_job(crashing_job)->phase, job_phase::failed);
}

/// Takes all starts and confirms them.
std::vector<start_order> confirm_starts(dispatch_world& world) {
    auto starts = world.take<start_order>();
    for (const auto& order : starts) {
        world.answer(order);
    }
    return starts;
}

/// Answers the next hold at a worker with the runs of `starts` that are on it.
void list_runs(dispatch_world& world, const std::string& worker, const std::vector<start_order>& starts) {
    hold_answer list;
    for (const auto& order : starts) {
        if (order.target.worker.id == worker) {
            list.running.push_back({order.run, "", 50, 0});
        }
    }
    world.wait_for_hold(worker);
    world.answer_hold(worker, list);
}

/// Answers the holds at a worker with its runs for `length`.
void run_without_crash(dispatch_world& world, const std::string& worker,
                       const std::vector<start_order>& starts, duration length) {
    const auto end = world.now + length;
    while (world.now < end) {
        list_runs(world, worker, starts);
    }
}

/// Fails all holds at a worker for `length`.
void fail_holds(dispatch_world& world, const std::string& worker, duration length) {
    const auto end = world.now + length;
    while (world.now < end) {
        const auto* state = world.find_worker(worker);
        ASSERT_NE(state, nullptr) << "forgotten before its machine restarted";
        if (state->is_hold_pending) {
            world.fail_hold(worker);
        }
        world.advance(milliseconds{50});
    }
}

TEST(dispatcher_crash, places_tasks_apart_that_ran_together_at_a_crash) {
    dispatch_world world;
    world.add_worker("first");
    const auto job = world.submit({make_step(4)});
    ASSERT_EQ(confirm_starts(world).size(), 4U);
    add_workers(world, 5);
    world.advance(milliseconds{10});
    world.restart_with_new_id("first", "first+");
    const auto again = confirm_starts(world);
    ASSERT_EQ(again.size(), 4U);
    std::set<std::string> workers;
    for (const auto& order : again) {
        workers.insert(order.target.worker.id);
    }
    EXPECT_EQ(workers.size(), 4U);
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::open);
}

TEST(dispatcher_crash, places_no_other_task_on_a_worker_reserved_for_a_suspect) {
    dispatch_world world;
    world.add_worker("w");
    const auto neighbour = world.submit({make_step(10)});
    const auto suspect = world.submit({make_step()});
    std::string worker = "w";
    for (int crash = 1; crash <= 2; ++crash) {
        ASSERT_EQ(confirm_starts(world).size(), 11U);
        world.advance(milliseconds{300});
        world.restart_with_new_id(worker, worker + "+");
        worker += "+";
    }
    world.cancel(neighbour);
    EXPECT_TRUE(world.take<start_order>().empty()) << "it is retried after a pause";
    world.add_worker("other");
    world.advance(milliseconds{600});
    const auto alone = confirm_starts(world);
    ASSERT_EQ(alone.size(), 1U);
    EXPECT_EQ(alone[0].run.task.step.job, suspect);
    world.submit({make_step(60)});
    const auto others = world.take<start_order>();
    EXPECT_EQ(others.size(), 60U);
    for (const auto& order : others) {
        EXPECT_NE(order.target.worker.id, alone[0].target.worker.id);
    }
}

TEST(dispatcher_crash, clears_a_suspect_that_runs_without_a_crash_and_reopens_its_worker) {
    dispatch_world world;
    world.add_worker("w1");
    auto long_running_step = make_step();
    long_running_step.long_running = true;
    const auto job = world.submit({long_running_step});
    const task_key task{{job, 0, 0}, 0};
    ASSERT_EQ(confirm_starts(world).size(), 1U);
    world.advance(seconds{1});
    world.restart_with_new_id("w1", "w1+");
    const auto again = confirm_starts(world);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(world.scheduler.count_suspects(), 1U);
    run_without_crash(world, "w1+", again, seconds{6});
    EXPECT_EQ(world.scheduler.count_suspects(), 0U);
    EXPECT_EQ(world.find_worker("w1+")->suspects, 0U);
    world.restart_with_new_id("w1+", "w1++");
    EXPECT_EQ(world.job_state.find_task(task)->crash.crashes, 1U) << "the first one was refuted";
}

TEST(dispatcher_crash, keeps_a_long_running_task_however_often_its_machines_fail) {
    dispatch_world world;
    world.add_worker("w");
    auto long_running_step = make_step();
    long_running_step.long_running = true;
    const auto job = world.submit({long_running_step});
    std::string worker = "w";
    for (int crash = 1; crash <= 6; ++crash) {
        const auto starts = confirm_starts(world);
        ASSERT_EQ(starts.size(), 1U);
        run_without_crash(world, worker, starts, seconds{70});
        world.restart_with_new_id(worker, worker + "+");
        worker += "+";
        world.advance(milliseconds{20});
    }
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::open);
}

TEST(dispatcher_crash, does_not_treat_a_run_that_a_new_leader_finds_as_just_begun) {
    dispatch_world world;
    add_workers(world, 1);
    const auto job = world.submit({make_step()});
    std::string worker = "w1";
    for (int crash = 1; crash <= 2; ++crash) {
        const auto starts = confirm_starts(world);
        ASSERT_EQ(starts.size(), 1U);
        world.advance(milliseconds{900});
        world.start_leading();
        world.send_heartbeat(worker);
        world.wait_for_hold(worker);
        hold_answer list;
        list.running.push_back({starts[0].run, "", 90, 0});
        world.answer_hold(worker, list);
        world.advance(milliseconds{40});
        world.restart_with_new_id(worker, worker + "+");
        worker += "+";
        world.advance(seconds{1});
    }
    ASSERT_EQ(world.job_state.find_job(job)->phase, job_phase::open);
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.crashes, 2U);
}

TEST(dispatcher_crash, counts_no_crash_for_the_tasks_of_a_draining_worker) {
    dispatch_world world;
    add_workers(world, 2);
    const auto job = world.submit({make_step()});
    const auto starts = confirm_starts(world);
    ASSERT_EQ(starts.size(), 1U);
    const auto& worker = starts[0].target.worker.id;
    world.send_heartbeat(worker, true, 2000);
    world.restart_with_new_id(worker, worker + "+");
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.crashes, 0U);
}

TEST(dispatcher_crash, counts_no_crash_for_a_task_that_the_worker_certainly_never_received) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0], order_failure::unreachable);
    world.restart_with_new_id("w1", "w1+");
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.crashes, 0U);
}

TEST(dispatcher_crash, counts_the_crash_of_a_worker_that_restarts_after_its_lease_expired) {
    dispatch_world world;
    add_workers(world, 2);
    const auto job = world.submit({make_step()});
    const auto starts = confirm_starts(world);
    ASSERT_EQ(starts.size(), 1U);
    const auto& worker = starts[0].target.worker.id;
    fail_holds(world, worker, seconds{15});
    ASSERT_EQ(confirm_starts(world).size(), 1U) << "the lease has lapsed";
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.crashes, 0U)
        << "it may only be out of reach";
    world.restart_with_new_id(worker, worker + "+");
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.crashes, 1U);
}

TEST(dispatcher_crash, counts_no_crash_when_a_partitioned_worker_answers_again) {
    dispatch_world world;
    add_workers(world, 2);
    const auto job = world.submit({make_step()});
    const auto starts = confirm_starts(world);
    ASSERT_EQ(starts.size(), 1U);
    const auto& worker = starts[0].target.worker.id;
    fail_holds(world, worker, seconds{10});
    while (!world.find_worker(worker)->is_hold_pending) {
        world.advance(milliseconds{50});
    }
    EXPECT_FALSE(world.find_worker(worker)->lapsed_runs.empty());
    world.answer_hold(worker, dispatch_world::make_empty_list());
    EXPECT_TRUE(world.find_worker(worker)->lapsed_runs.empty());
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.crashes, 0U);
}

TEST(dispatcher_crash, counts_no_certain_crash_for_a_run_that_may_have_ended_before_it) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto starts = confirm_starts(world);
    run_without_crash(world, "w1", starts, milliseconds{600}); // no hold is pending at its end
    world.restart_with_new_id("w1", "w1+");
    const auto& crash = world.job_state.find_task({{job, 0, 0}, 0})->crash;
    EXPECT_EQ(crash.crashes, 1U);
    EXPECT_EQ(crash.certain_crashes, 0U);
}

TEST(dispatcher_crash, counts_no_certain_crash_where_a_hold_may_have_found_the_process_ended) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto starts = confirm_starts(world);
    run_without_crash(world, "w1", starts, milliseconds{600});
    world.wait_for_hold("w1");
    world.restart_with_new_id("w1", "w1+");
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.certain_crashes, 0U);
}

TEST(dispatcher_crash, counts_a_certain_crash_for_a_run_whose_worker_was_waiting_for_its_end) {
    dispatch_world world;
    world.add_worker("w1");
    const auto job = world.submit({make_step()});
    const auto starts = confirm_starts(world);
    run_without_crash(world, "w1", starts, milliseconds{600});
    world.wait_for_hold("w1");
    world.advance(milliseconds{300});
    world.restart_with_new_id("w1", "w1+");
    EXPECT_EQ(world.job_state.find_task({{job, 0, 0}, 0})->crash.certain_crashes, 1U);
}

TEST(dispatcher_crash, starts_no_copy_of_what_may_have_crashed_its_worker) {
    dispatch_world world;
    add_workers(world, 3);
    auto step = make_step();
    step.speculative = true;
    step.estimate_ms = 200;
    world.submit({step});
    const auto starts = confirm_starts(world);
    ASSERT_EQ(starts.size(), 1U);
    const auto& worker = starts[0].target.worker.id;
    const auto end = world.now + seconds{3};
    while (world.now < end) {
        if (world.find_worker(worker)->is_hold_pending) {
            world.fail_hold(worker);
        }
        world.advance(milliseconds{50});
        EXPECT_TRUE(world.take<start_order>().empty());
    }
}

TEST(dispatcher_crash, gives_up_a_gang_with_a_member_that_crashes_its_workers) {
    dispatch_world world;
    add_workers(world, 6);
    auto gang = make_step(3);
    gang.gang = true;
    const auto job = world.submit({gang});
    int crashes = 0;
    for (int turn = 0; turn < 20 * round_count; ++turn) {
        for (const auto& order : confirm_starts(world)) {
            if (order.run.task.index == 0) {
                ++crashes;
                world.advance(milliseconds{10});
                world.restart_with_new_id(order.target.worker.id, order.target.worker.id + "+");
            }
        }
        for (const auto& stop : world.take<stop_order>()) {
            world.answer(stop);
        }
        for (const auto& hold : world.take<hold_order>()) {
            world.answer_hold(hold.target.worker.id, dispatch_world::make_empty_list());
        }
        world.advance(milliseconds{100});
    }
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::failed);
    EXPECT_LE(crashes, max_starts);
}

TEST(dispatcher_crash, gives_up_a_long_running_task_that_crashes_its_workers) {
    dispatch_world world;
    add_workers(world, 4);
    auto long_running_step = make_step();
    long_running_step.long_running = true;
    const auto crashing_job = world.submit({long_running_step});
    EXPECT_LE(crash_at_each_start(world, crashing_job, round_count), max_starts);
    EXPECT_EQ(world.job_state.find_job(crashing_job)->phase, job_phase::failed);
}

TEST(dispatcher_crash, gives_up_a_timed_job_whose_task_crashes_workers_in_one_occurrence) {
    dispatch_world world;
    add_workers(world, 4);
    const auto crashing_job = world.submit_timed({make_step()}, {3, world.wall_ms, 60'000});
    EXPECT_LE(crash_at_each_start(world, crashing_job, round_count), max_starts);
    EXPECT_EQ(world.job_state.find_job(crashing_job)->phase, job_phase::failed);
}

TEST(dispatcher_crash, does_not_clear_a_suspect_that_writes_checkpoints) {
    dispatch_world world;
    add_workers(world, 4);
    auto step = make_step();
    step.checkpointing = true;
    const auto crashing_job = world.submit({step});
    EXPECT_LE(crash_at_each_start(world, crashing_job, round_count), max_starts);
    EXPECT_EQ(world.job_state.find_job(crashing_job)->phase, job_phase::failed);
}

} // namespace
} // namespace poplarpitch
