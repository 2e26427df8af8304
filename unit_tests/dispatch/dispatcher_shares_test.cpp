// Which queue or data centre of callers gets room that becomes free during an overload.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace poplarpitch {
namespace {

constexpr std::int64_t worker_cores = 4;
constexpr duration task_length = seconds{1};

dispatch_settings make_settings(bool fair_shares, bool keep_learned = false) {
    dispatch_settings settings;
    settings.decisions.fair_shares = fair_shares;
    settings.decisions.keep_learned = keep_learned;
    return settings;
}

/// One worker with room for four tasks, each of which ends after a second.
class shared_worker {
public:
    explicit shared_worker(const dispatch_settings& settings) : world(settings) {
        world.add_worker("w1", {worker_cores * 1000, 64'000, 0});
    }

    /// Lets `west` submit one job and `east` ten jobs in each half second. Each job has one task.
    void overload(duration length, const std::string& west_queue, const std::string& west,
                  const std::string& east_queue, const std::string& east) {
        constexpr duration interval = milliseconds{500};
        constexpr int west_jobs = 2;
        constexpr int east_jobs = 20;
        for (duration passed{0}; passed < length; passed += interval) {
            for (int job = 0; job < east_jobs; ++job) {
                m_owners[world.submit_from(east_queue, east, {make_step()})] = "east";
            }
            for (int job = 0; job < west_jobs; ++job) {
                m_owners[world.submit_from(west_queue, west, {make_step()})] = "west";
            }
            run(interval);
        }
    }

    /// Lets time pass, in which tasks end and others start.
    void run(duration length) {
        constexpr duration step = milliseconds{50};
        for (duration passed{0}; passed < length; passed += step) {
            world.advance(step);
            end_tasks();
            confirm_starts();
            if (++m_steps % 10 == 0) {
                world.send_heartbeat("w1");
            }
        }
    }

    /// Returns the part of the started tasks that were submitted by `owner`.
    [[nodiscard]] double get_part(const std::string& owner) const {
        double count = 0;
        for (const auto job : order) {
            count += m_owners.at(job) == owner ? 1 : 0;
        }
        return order.empty() ? 0 : count / static_cast<double>(order.size());
    }

    dispatch_world world;
    std::vector<job_id> order; ///< jobs by the start of their task

private:
    void end_tasks() {
        for (const auto& hold : world.take<hold_order>()) {
            hold_answer list;
            for (auto task = m_running.begin(); task != m_running.end();) {
                if (world.now - task->second >= task_length) {
                    m_ended.push_back({++m_end_count, task->first, run_end::done, ""});
                    task = m_running.erase(task);
                } else {
                    ++task;
                }
            }
            for (const auto& [run, since] : m_running) {
                list.running.push_back({run, "", 0, 0});
            }
            std::erase_if(m_ended,
                          [&hold](const auto& end) { return end.number <= hold.acknowledged_up_to; });
            list.ended = m_ended;
            world.answer_hold("w1", list);
        }
    }

    void confirm_starts() {
        for (const auto& start : world.take<start_order>()) {
            world.answer(start);
            if (m_running.try_emplace(start.run, world.now).second) {
                order.push_back(start.run.task.step.job);
            }
        }
    }

    std::map<job_id, std::string> m_owners;
    std::map<run_key, time_point> m_running;
    std::vector<run_end_entry> m_ended;
    std::uint64_t m_end_count = 0;
    int m_steps = 0;
};

/// Load pattern: the callers of one data centre submit ten times as much as those of the other, which alone
/// would fill the workers. Without the correction, they got ten elevenths.
TEST(dispatcher_shares, keep_the_callers_of_one_data_centre_from_pushing_out_others) {
    shared_worker shared(make_settings(true));
    shared.overload(seconds{30}, "queue", "west", "queue", "east");
    EXPECT_GT(shared.get_part("west"), 0.3);
    shared_worker plain(make_settings(false));
    plain.overload(seconds{30}, "queue", "west", "queue", "east");
    EXPECT_LT(plain.get_part("west"), 0.2);
}

TEST(dispatcher_shares, follow_the_weights_of_queues) {
    auto settings = make_settings(true);
    settings.decisions.share_weights = {{"heavy", 3}};
    shared_worker heavy(settings);
    heavy.overload(seconds{30}, "heavy", "", "light", "");
    settings.decisions.share_weights = {{"light", 3}};
    shared_worker light(settings);
    light.overload(seconds{30}, "heavy", "", "light", "");
    EXPECT_GT(heavy.get_part("west"), light.get_part("west") + 0.2);
}

/// With the switch off, neither the queue nor the data centre of callers may change the order.
TEST(dispatcher_shares, leave_the_order_as_it_is_while_they_are_off) {
    shared_worker several(make_settings(false));
    several.overload(seconds{15}, "one", "west", "two", "east");
    shared_worker single(make_settings(true));
    single.overload(seconds{15}, "queue", "", "queue", "");
    EXPECT_EQ(several.order, single.order) << "a single key has nobody to share with";
    EXPECT_TRUE(several.world.scheduler.get_shares().get_queue_shares().empty());
}

/// A new leader without the use of the former one would serve a caller first that has had the most.
TEST(dispatcher_shares, are_known_to_the_next_leader) {
    shared_worker worker(make_settings(true, true));
    worker.overload(seconds{10}, "one", "west", "two", "east");
    worker.run(seconds{3}); // a record is written every two seconds
    const auto before = worker.world.scheduler.get_shares().get_queue_shares();
    worker.world.start_leading();
    const auto after = worker.world.scheduler.get_shares().get_queue_shares();
    ASSERT_EQ(after.size(), 2U);
    EXPECT_NEAR(after.at("one"), before.at("one"), 0.1);
    shared_worker forgetful(make_settings(true, false));
    forgetful.overload(seconds{10}, "one", "west", "two", "east");
    forgetful.world.start_leading();
    EXPECT_TRUE(forgetful.world.scheduler.get_shares().get_queue_shares().empty());
}

} // namespace
} // namespace poplarpitch
