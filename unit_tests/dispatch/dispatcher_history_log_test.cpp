// The logs state for which reason each run was considered started, taken over and ended.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/log_capture.h"
#include "unit_tests/dispatch/test_steps.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

void expect_one(const log_capture& logs, const std::string& event, const std::vector<std::string>& parts) {
    const auto lines = logs.find(event);
    ASSERT_EQ(lines.size(), 1U) << event;
    for (const auto& part : parts) {
        EXPECT_NE((lines[0] + " ").find(" " + part + " "), std::string::npos) << part << " in " << lines[0];
    }
}

hold_answer list_running(const start_order& order) {
    hold_answer list;
    run_entry row;
    row.run = order.run;
    list.running.push_back(row);
    return list;
}

hold_answer list_end(const start_order& order, std::uint64_t number) {
    hold_answer list;
    list.ended.push_back({number, order.run, run_end::done, ""});
    return list;
}

void answer_next(dispatch_world& world, const hold_answer& list) {
    world.wait_for_hold("w1");
    world.answer_hold("w1", list);
}

TEST(dispatcher_history_log, logs_the_list_that_contained_an_end) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const log_capture logs;
    const auto order = world.start_one();
    answer_next(world, list_end(order, 5));
    expect_one(logs, "run_started", {"worker=w1", "ground=answered", "term=1", "fence=1", "starts=1"});
    expect_one(logs, "run_ended", {"end=done", "ground=listed_end", "number=5", "term=1", "fence=1"});
    EXPECT_NE(logs.find("run_ended")[0].find(" asked_ms="), std::string::npos);
}

TEST(dispatcher_history_log, logs_that_a_run_was_first_seen_in_a_list_after_its_start_had_no_answer) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const log_capture logs;
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U);
    world.answer(starts[0], order_failure::unanswered);
    answer_next(world, list_running(starts[0]));
    expect_one(logs, "start_refused", {"reason=unanswered", "fence=1", "starts=1"});
    expect_one(logs, "run_started", {"ground=listed", "fence=1"});
}

TEST(dispatcher_history_log, logs_a_run_that_its_worker_lacks_and_one_that_was_refused) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const log_capture logs;
    const auto first = world.start_one();
    world.advance(milliseconds{10});
    answer_next(world, list_running(first));
    answer_next(world, {});
    expect_one(logs, "run_ended", {"end=not_started", "ground=not_listed"});
    const auto again = world.take<start_order>();
    ASSERT_EQ(again.size(), 1U);
    world.answer(again[0], order_failure::no_capacity);
    EXPECT_NE(logs.find("run_ended").back().find("ground=given_back"), std::string::npos);
}

TEST(dispatcher_history_log, logs_what_a_new_leader_takes_over_and_the_outcome_of_each_run) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto found = world.start_one();
    world.submit({make_step()});
    const auto missing = world.start_one();
    const log_capture logs;
    world.start_leading();
    expect_one(logs, "took_over", {"term=2", "fence=2", "open_jobs=2", "runs=2", "workers=1", "waiting=0"});
    world.send_heartbeat("w1");
    answer_next(world, list_running(found));
    const auto lines = logs.find("run_taken_over");
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_NE(lines[0].find("found=running of=former_leader term=2 fence=2"), std::string::npos) << lines[0];
    EXPECT_NE(lines[1].find("found=never_came of=former_leader term=2 fence=2"), std::string::npos);
    expect_one(logs, "run_ended", {"job=" + format_job_id(missing.run.task.step.job), "ground=never_came"});
}

TEST(dispatcher_history_log, logs_the_end_of_an_unknown_run) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_step()});
    const auto order = world.start_one();
    const log_capture logs;
    auto list = list_running(order);
    list.ended.push_back({7, {{{99, 0, 0}, 4}, 2}, run_end::done, ""});
    answer_next(world, list);
    answer_next(world, list);
    expect_one(logs, "end_of_unknown_run",
               {"job=0000000000000063", "task=4", "run=2", "worker=w1", "end=done", "number=7", "seen=7",
                "reason=not_known"});
}

// A job that failed must be explained by its id alone: which runs counted, and from what to what.
TEST(dispatcher_history_log, logs_the_failed_attempts_before_and_after_each_that_counts) {
    dispatch_world world;
    world.add_worker("w1");
    world.add_worker("w2");
    world.submit({make_step()}, 2);
    const log_capture logs;
    for (std::uint64_t attempt = 1; attempt <= 2; ++attempt) {
        const auto start = world.start_one();
        auto list = list_end(start, attempt);
        list.ended[0].end = run_end::failed;
        world.wait_for_hold(start.target.worker.id);
        world.answer_hold(start.target.worker.id, list);
        world.advance(seconds{10});
    }
    const auto lines = logs.find("attempt_failed");
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_NE(lines[0].find(" counted=yes failures_before=0 failures=1 max_attempts=2"), std::string::npos);
    expect_one(logs, "attempts_exhausted", {"run=2", "failures_before=1", "failures=2", "max_attempts=2"});
    EXPECT_EQ(world.scheduler.get_counts().failed_attempts, 2U);
    EXPECT_EQ(world.scheduler.get_counts().jobs_out_of_attempts, 1U);
}

} // namespace
} // namespace poplarpitch
