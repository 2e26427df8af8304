// A task that ends and has waited for too long uses a worker that is otherwise avoided, if no other has room.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration max_wait = seconds{3}; // of a job that has nothing running while workers have room
constexpr duration limit = seconds{20};   // for the wait of a test

/// A world that records the ends of runs, so that a test can fail some of them.
class overdue_world : public dispatch_world {
public:
    /// Confirms a start, then lets its worker list the run's end.
    void end_run(const start_order& start, run_end end) {
        answer(start);
        const auto id = start.target.worker.id;
        wait_for_hold(id);
        hold_answer list;
        for (const auto& [key, track] : find_worker(id)->runs) {
            if (key != start.run) {
                list.running.push_back({key, "", 50, 0});
            }
        }
        list.ended.push_back({++m_ends[id], start.run, end, {}});
        answer_hold(id, list);
    }

    /// Returns the only start, which must be on this worker.
    start_order take_start(const std::string& worker) {
        const auto starts = take<start_order>();
        EXPECT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts.empty() ? std::string{} : starts[0].target.worker.id, worker);
        return starts.empty() ? start_order{} : starts[0];
    }

    /// Returns the start of a job that is the first within `limit`, or an empty one.
    start_order wait_for_start() {
        const auto since = now;
        while (now - since < limit) {
            const auto starts = take<start_order>();
            if (!starts.empty()) {
                return starts[0];
            }
            advance(milliseconds{20});
        }
        return {};
    }

    /// Lets workers report to a new leader: each sends a heartbeat and lists no runs.
    void reconnect(const std::vector<std::string>& workers) {
        for (const auto& id : workers) {
            send_heartbeat(id);
            wait_for_hold(id);
            answer_hold(id, make_empty_list());
        }
    }

    /// Fails runs of `jobs` jobs on the only worker.
    void fail_jobs(const std::string& worker, int jobs) {
        for (int number = 0; number < jobs; ++number) {
            submit({make_step()}, 1);
            const auto start = wait_for_start();
            ASSERT_EQ(start.target.worker.id, worker);
            end_run(start, run_end::failed);
        }
    }

    /// Adds a second worker, starts a gang of two with two attempts there, and fails the member with this
    /// index. The other one is stopped.
    void fail_member_of_gang(std::uint32_t index) {
        auto gang = make_step(2);
        gang.gang = true;
        add_worker("w2");
        submit({gang}, 2);
        const auto starts = take<start_order>();
        ASSERT_EQ(starts.size(), 2U);
        const std::size_t failing = starts[0].run.task.index == index ? 0 : 1;
        answer(starts[1 - failing]);
        end_run(starts[failing], run_end::failed);
        for (const auto& stop : take<stop_order>()) {
            answer(stop);
        }
        wait_for_hold("w2");
        answer_hold("w2", make_empty_list());
    }

private:
    std::map<std::string, std::uint64_t> m_ends;
};

TEST(dispatcher_overdue, starts_a_last_attempt_where_the_last_run_of_each_idle_worker_failed) {
    overdue_world world;
    world.add_worker("w1");
    world.fail_jobs("w1", 1);
    world.add_worker("w2");
    world.submit({make_step()}, 2);
    world.end_run(world.take_start("w2"), run_end::failed);
    const auto since = world.now;
    EXPECT_EQ(world.wait_for_start().run.run, 2U);
    EXPECT_LE(to_milliseconds(world.now - since), to_milliseconds(max_wait));
}

TEST(dispatcher_overdue, starts_a_task_that_ends_where_all_workers_are_set_aside) {
    overdue_world world;
    world.add_worker("w1");
    world.fail_jobs("w1", 6);
    world.submit({make_step()});
    const auto since = world.now;
    EXPECT_EQ(world.wait_for_start().target.worker.id, "w1");
    EXPECT_LE(to_milliseconds(world.now - since), to_milliseconds(max_wait));
}

TEST(dispatcher_overdue, loses_no_attempt_on_a_worker_that_is_set_aside_while_another_has_room) {
    overdue_world world;
    world.add_worker("w1");
    world.fail_jobs("w1", 6);
    world.add_worker("w2", {1000, 1000, 0});
    world.submit({make_step(4)});
    for (int number = 0; number < 3; ++number) {
        world.end_run(world.take_start("w2"), run_end::done);
        world.advance(milliseconds{100});
    }
}

TEST(dispatcher_overdue, starts_the_others_of_a_step_while_a_last_attempt_finds_no_worker) {
    overdue_world world;
    world.add_worker("w1", {8000, 8000, 0});
    auto large = make_step();
    large.millicores = 6000;
    const auto blocker = world.submit({large}, 1);
    world.start_one();
    const auto job = world.submit({make_step(4)}, 2);
    const auto first = world.take<start_order>();
    ASSERT_EQ(first.size(), 2U);
    world.answer(first[1]);
    world.end_run(first[0], run_end::failed);
    world.cancel(blocker);
    const auto stops = world.take<stop_order>();
    ASSERT_EQ(stops.size(), 1U);
    world.answer(stops[0]);
    const auto since = world.now;
    std::size_t started = 0;
    while (started < 2 && world.now - since < limit) {
        world.advance(milliseconds{20});
        for (const auto& start : world.take<start_order>()) {
            EXPECT_EQ(start.run.task.step.job, job);
            started += start.run.task.index > 1 ? 1 : 0;
            world.answer(start);
        }
        if (world.find_worker("w1")->is_hold_pending) {
            hold_answer list;
            for (const auto& [key, track] : world.find_worker("w1")->runs) {
                if (key.task.step.job == job) {
                    list.running.push_back({key, "", 50, 0});
                }
            }
            world.answer_hold("w1", list);
        }
    }
    EXPECT_EQ(started, 2U);
    EXPECT_LE(to_milliseconds(world.now - since), to_milliseconds(max_wait));
}

// A new leader did not know that one attempt was left, nor where the others had failed, and started the last
// one on the worker that had just failed the task.
TEST(dispatcher_overdue, starts_a_last_attempt_under_a_new_leader_where_the_task_has_not_failed) {
    overdue_world world;
    world.add_worker("w1");
    world.submit({make_step()}, 2);
    world.end_run(world.take_start("w1"), run_end::failed);
    world.start_leading();
    world.reconnect({"w1"});
    world.add_worker("w2", {1000, 1000, 0});
    EXPECT_EQ(world.wait_for_start().target.worker.id, "w2");
}

// Where no other worker has room, it must not wait for ever.
TEST(dispatcher_overdue,
     starts_a_last_attempt_under_a_new_leader_where_the_task_failed_if_there_is_no_other) {
    overdue_world world;
    world.add_worker("w1");
    world.submit({make_step()}, 2);
    world.end_run(world.take_start("w1"), run_end::failed);
    world.start_leading();
    world.reconnect({"w1"});
    const auto since = world.now;
    EXPECT_EQ(world.wait_for_start().target.worker.id, "w1");
    EXPECT_LE(to_milliseconds(world.now - since), to_milliseconds(max_wait));
}

TEST(dispatcher_overdue, starts_a_gang_where_the_last_run_of_each_idle_worker_failed) {
    overdue_world world;
    world.add_worker("w1");
    world.fail_jobs("w1", 1);
    world.fail_member_of_gang(0);
    const auto since = world.now;
    EXPECT_EQ(world.wait_for_start().run.run, 2U);
    EXPECT_LE(to_milliseconds(world.now - since), to_milliseconds(max_wait));
}

TEST(dispatcher_overdue, starts_a_gang_of_which_a_trusted_worker_has_room_for_some_members_only) {
    overdue_world world;
    world.add_worker("w1");
    world.fail_jobs("w1", 1);
    world.fail_member_of_gang(1);
    world.add_worker("w3", {1000, 100, 0});
    const auto since = world.now;
    EXPECT_EQ(world.wait_for_start().run.run, 2U);
    EXPECT_LE(to_milliseconds(world.now - since), to_milliseconds(max_wait));
}

} // namespace
} // namespace poplarpitch
