// Job execution: dependencies, attempts, gangs, cancellation, placement limits and occurrences.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

void end_run(dispatch_world& world, const start_order& order, std::uint64_t number, run_end end) {
    world.wait_for_hold(order.target.worker.id);
    hold_answer list;
    for (const auto& [key, track] : world.find_worker(order.target.worker.id)->runs) {
        if (key != order.run) {
            list.running.push_back({key, "", 10, 0});
        }
    }
    list.ended.push_back({number, order.run, end, ""});
    world.answer_hold(order.target.worker.id, list);
}

TEST(dispatcher_job, starts_a_step_when_all_tasks_before_it_are_done) {
    dispatch_world world;
    world.add_worker("w1");
    auto second = make_step();
    second.depends_on = {0};
    const auto job = world.submit({make_step(2), second});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]);
    world.answer(starts[1]);
    end_run(world, starts[0], 1, run_end::done);
    EXPECT_TRUE(world.take<start_order>().empty());
    end_run(world, starts[1], 2, run_end::done);
    const auto last = world.take<start_order>();
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last[0].run.task.step.step, 1U);
    world.answer(last[0]);
    end_run(world, last[0], 3, run_end::done);
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::completed);
}

TEST(dispatcher_job, fails_a_job_whose_task_reached_the_attempts_of_its_queue) {
    dispatch_world world;
    world.add_worker("w1");
    world.add_worker("w2");
    const auto job = world.submit({make_step()}, 2);
    for (std::uint64_t attempt = 1; attempt <= 2; ++attempt) {
        world.advance(seconds{10}); // a worker with a failed run is paused
        const auto starts = world.take<start_order>();
        ASSERT_EQ(starts.size(), 1U);
        world.answer(starts[0]);
        end_run(world, starts[0], 1, run_end::failed);
    }
    world.advance(seconds{10});
    EXPECT_TRUE(world.take<start_order>().empty());
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::failed);
}

TEST(dispatcher_job, retries_a_failed_task_on_another_worker) {
    dispatch_world world;
    world.add_worker("w1");
    world.add_worker("w2");
    world.submit({make_step()}, 2);
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0]);
    end_run(world, first[0], 1, run_end::failed);
    world.advance(seconds{1});
    const auto second = world.take<start_order>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].target.worker.id, first[0].target.worker.id);
}

TEST(dispatcher_job, starts_a_gang_whole_or_not_at_all_and_under_one_number) {
    dispatch_world world;
    world.add_worker("w1", {2000, 256000, 0});
    auto gang = make_step(3);
    gang.gang = true;
    world.submit({gang});
    EXPECT_TRUE(world.take<start_order>().empty());
    world.add_worker("w2", {2000, 256000, 0});
    world.advance(milliseconds{200});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 3U);
    for (const auto& start : starts) {
        EXPECT_EQ(start.run.run, 1U);
    }
}

TEST(dispatcher_job, takes_the_end_of_one_member_of_a_gang_for_all) {
    dispatch_world world;
    world.add_worker("w1");
    auto gang = make_step(2);
    gang.gang = true;
    const auto job = world.submit({gang});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U);
    world.answer(starts[0]);
    world.answer(starts[1]);
    end_run(world, starts[0], 1, run_end::done);
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::completed);
}

/// A gang of three on three workers whose queue allows two attempts.
class failing_gang : public testing::Test {
protected:
    failing_gang() {
        for (const auto* worker : {"w1", "w2", "w3"}) {
            m_world.add_worker(worker);
        }
        auto gang = make_step(3);
        gang.gang = true;
        gang.max_per_worker = 1;
        m_job = m_world.submit({gang}, 2);
    }

    /// Waits for the starts of all members and confirms them.
    std::vector<start_order> start_members() {
        std::vector<start_order> starts;
        for (const auto limit = m_world.now + seconds{20}; starts.empty() && m_world.now < limit;) {
            m_world.advance(milliseconds{20});
            starts = m_world.take<start_order>();
        }
        EXPECT_EQ(starts.size(), 3U);
        for (const auto& start : starts) {
            m_world.answer(start);
        }
        return starts;
    }

    /// Ends the members of a run in this way, each in a list of its own worker.
    void end_members(const std::vector<start_order>& starts, const std::vector<run_end>& ends) {
        for (std::size_t index = 0; index < starts.size(); ++index) {
            end_run(m_world, starts[index], ++m_ends[starts[index].target.worker.id], ends[index]);
        }
    }

    /// Lets all workers report to a new leader.
    void change_leader(const std::vector<std::string>& workers) {
        m_world.start_leading();
        for (const auto& worker : workers) {
            m_world.send_heartbeat(worker);
            m_world.wait_for_hold(worker);
            m_world.answer_hold(worker, dispatch_world::make_empty_list());
        }
    }

    [[nodiscard]] job_phase get_phase() const { return m_world.job_state.find_job(m_job)->phase; }

    dispatch_world m_world;
    job_id m_job = 0;
    std::map<std::string, std::uint64_t> m_ends;
};

// Members that failed in one run were counted as so many attempts, and the job was lost after one run.
TEST_F(failing_gang, counts_a_run_once_in_which_several_members_fail) {
    end_members(start_members(), {run_end::failed, run_end::failed, run_end::failed});
    ASSERT_EQ(get_phase(), job_phase::open);
    const auto second = start_members();
    EXPECT_EQ(second[0].run.run, 2U);
    end_members(second, {run_end::done, run_end::done, run_end::done});
    EXPECT_EQ(get_phase(), job_phase::completed);
}

// The same where the leader changes between the ends of the members.
TEST_F(failing_gang, counts_a_run_once_of_which_two_leaders_hear_failures) {
    const auto starts = start_members();
    end_run(m_world, starts[0], 1, run_end::failed);
    m_world.start_leading();
    for (const auto* worker : {"w1", "w2", "w3"}) {
        m_world.send_heartbeat(worker);
    }
    end_run(m_world, starts[1], 1, run_end::failed);
    end_run(m_world, starts[2], 1, run_end::gang_broken);
    EXPECT_EQ(get_phase(), job_phase::open);
}

// Each run in which a member fails is an attempt, also where another member fails than before.
TEST_F(failing_gang, fails_its_job_after_as_many_failed_runs_as_its_queue_allows) {
    end_members(start_members(), {run_end::failed, run_end::gang_broken, run_end::failed});
    EXPECT_EQ(get_phase(), job_phase::open);
    end_members(start_members(), {run_end::gang_broken, run_end::failed, run_end::gang_broken});
    EXPECT_EQ(get_phase(), job_phase::failed);
}

// An end as done must stand, whatever other members of the run list before or after it: a task must not start
// again after it was done.
TEST_F(failing_gang, is_completed_by_a_member_that_is_done_in_a_run_in_which_another_fails) {
    end_members(start_members(), {run_end::failed, run_end::done, run_end::failed});
    EXPECT_EQ(get_phase(), job_phase::completed);
    EXPECT_TRUE(m_world.take<start_order>().empty());
}

// A worker that fails all that it starts for 6.5 s used up all attempts of a gang that needs every worker.
TEST_F(failing_gang, keeps_its_last_attempt_while_a_worker_that_it_needs_may_fail_all_it_starts) {
    end_members(start_members(), {run_end::failed, run_end::gang_broken, run_end::gang_broken});
    const auto failed_at = m_world.now;
    const auto second = start_members();
    EXPECT_GE(m_world.now - failed_at, milliseconds{6500});
    EXPECT_LE(m_world.now - failed_at, seconds{10});
    end_members(second, {run_end::done, run_end::done, run_end::done});
    EXPECT_EQ(get_phase(), job_phase::completed);
}

// The wait above must end, also where each new leader takes the failures for recent ones.
TEST_F(failing_gang, starts_its_last_attempt_under_a_new_leader_after_a_bounded_wait) {
    end_members(start_members(), {run_end::failed, run_end::gang_broken, run_end::gang_broken});
    change_leader({"w1", "w2", "w3"});
    const auto since = m_world.now;
    EXPECT_EQ(start_members()[0].run.run, 2U);
    EXPECT_LE(m_world.now - since, seconds{10});
}

// Where other workers have room the gang must not wait, and each member must avoid where any of them failed.
TEST_F(failing_gang, starts_its_last_attempt_at_once_on_workers_that_have_not_failed_it) {
    m_world.add_worker("w4");
    const auto first = start_members();
    end_members(first, {run_end::gang_broken, run_end::failed, run_end::gang_broken});
    const auto failed_at = m_world.now;
    for (const auto& start : start_members()) {
        EXPECT_NE(start.target.worker, first[1].target.worker);
    }
    EXPECT_LE(m_world.now - failed_at, seconds{1});
}

TEST_F(failing_gang, avoids_under_a_new_leader_where_any_member_has_failed) {
    m_world.add_worker("w4");
    const auto first = start_members();
    end_members(first, {run_end::gang_broken, run_end::failed, run_end::gang_broken});
    change_leader({"w1", "w2", "w3", "w4"});
    const auto since = m_world.now;
    for (const auto& start : start_members()) {
        EXPECT_NE(start.target.worker, first[1].target.worker);
    }
    EXPECT_LE(m_world.now - since, seconds{1});
}

// Ends of a broken gang count for nothing, whatever ended it.
TEST_F(failing_gang, counts_no_run_that_ends_without_a_failure) {
    for (int run = 0; run < 3; ++run) {
        end_members(start_members(), {run_end::lease_expired, run_end::gang_broken, run_end::stopped});
    }
    EXPECT_EQ(get_phase(), job_phase::open);
}

TEST(dispatcher_job, stops_what_runs_of_a_cancelled_job_and_starts_no_more_of_it) {
    dispatch_world world;
    world.add_worker("w1", {2000, 256000, 0});
    const auto job = world.submit({make_step(3)});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 2U); // one waits for room
    world.answer(starts[0]);
    world.cancel(job); // the other start has no answer yet
    const auto stops = world.take<stop_order>();
    EXPECT_EQ(stops.size(), 2U);
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty());
    EXPECT_EQ(world.job_state.find_job(job)->phase, job_phase::cancelled);
}

TEST(dispatcher_job, never_exceeds_the_capacity_of_a_worker) {
    dispatch_world world;
    world.add_worker("w1", {3500, 250, 0});
    world.submit({make_step(10)});
    EXPECT_EQ(world.take<start_order>().size(), 2U); // memory is the limit
}

TEST(dispatcher_job, places_small_tasks_behind_large_ones_that_find_no_room) {
    dispatch_world world;
    world.add_worker("w1", {2000, 256000, 0});
    auto large = make_step();
    large.millicores = 3000;
    auto heavy = make_step();
    heavy.memory_mb = 300000;
    world.submit({large});
    world.submit({heavy});
    auto other = make_step();
    other.image = "other";
    other.millicores = 3000;
    world.submit({other});
    const auto small = world.submit({make_step()});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].run.task.step.job, small);
}

TEST(dispatcher_job, respects_required_labels_and_the_limit_per_worker) {
    dispatch_world world;
    world.add_worker("w1", {64000, 256000, 0}, "r1");
    world.add_worker("w2", {64000, 256000, 0}, "r2");
    auto step = make_step(4);
    step.required_label = "r2";
    step.max_per_worker = 3;
    world.submit({step});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 3U);
    for (const auto& start : starts) {
        EXPECT_EQ(start.target.worker.id, "w2");
    }
}

TEST(dispatcher_job, starts_an_occurrence_when_it_is_due_and_counts_its_age_from_then) {
    dispatch_world world;
    const auto timed = world.submit_timed({make_step()}, {2, world.wall_ms + 60'000, 60'000});
    world.advance(seconds{59});
    auto patient = make_step();
    patient.estimate_ms = 9000;
    world.submit({patient});
    world.advance(seconds{1}); // due now, with less slack than the other job
    world.add_worker("w1", {1000, 256000, 0});
    auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].run.task.step,
              (step_key{timed, 0, 0})); // the job is a minute old, the occurrence is not
    world.answer(starts[0]);
    end_run(world, starts[0], 1, run_end::done);
    starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0]);
    end_run(world, starts[0], 2, run_end::done);
    EXPECT_EQ(world.job_state.find_job(timed)->phase, job_phase::open);
    world.advance(seconds{50});
    world.send_heartbeat("w1");
    EXPECT_TRUE(world.take<start_order>().empty());
    world.advance(seconds{9});
    world.send_heartbeat("w1");
    world.advance(seconds{1});
    starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].run.task.step, (step_key{timed, 1, 0}));
    world.answer(starts[0]);
    end_run(world, starts[0], 3, run_end::done);
    EXPECT_EQ(world.job_state.find_job(timed)->phase, job_phase::completed);
}

TEST(dispatcher_job, counts_jobs_none_of_whose_tasks_has_started) {
    dispatch_world world;
    world.add_worker("w1", {1000, 256000, 0});
    world.submit({make_step()});
    world.submit({make_step()});
    EXPECT_EQ(world.scheduler.count_pending_jobs("queue"), 2U);
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0]);
    EXPECT_EQ(world.scheduler.count_pending_jobs("queue"), 1U);
}

TEST(dispatcher_job, starts_a_long_running_task_that_has_waited_before_short_ones_however_old_its_job_is) {
    dispatch_world world;
    world.add_worker("w1", {1000, 256000, 0});
    auto long_running_step = make_step();
    long_running_step.long_running = true;
    world.submit({long_running_step});
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 1U);
    world.answer(first[0]);
    world.advance(seconds{60}); // far longer than a job that ends may take
    world.send_heartbeat("w1", true, 5000);
    end_run(world, first[0], 1, run_end::failed);
    world.advance(seconds{3});
    world.submit({make_step()});
    world.add_worker("w2", {1000, 256000, 0});
    world.advance(milliseconds{200});
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].run.task, first[0].run.task);
}

TEST(dispatcher_job, starts_a_long_running_task_again_wherever_there_is_room_however_often_it_failed) {
    dispatch_world world;
    world.add_worker("w1");
    auto long_running_step = make_step();
    long_running_step.long_running = true;
    world.submit({long_running_step}, 2);
    for (std::uint64_t failure = 1; failure <= 4; ++failure) {
        const auto starts = world.take<start_order>();
        ASSERT_EQ(starts.size(), 1U) << "after " << failure - 1 << " failures";
        world.answer(starts[0]);
        end_run(world, starts[0], failure, run_end::failed);
        world.advance(seconds{3});
    }
}

} // namespace
} // namespace poplarpitch
