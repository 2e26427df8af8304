// Filling tasks beside serving tasks: slowed when a tail latency exceeds its target, moved away from unsound
// workers.
#include "unit_tests/dispatch/dispatch_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::int64_t target_ms = 50;

step_spec make_serving(std::uint32_t count) {
    step_spec step;
    step.count = count;
    step.millicores = 10000;
    step.memory_mb = 1000;
    step.long_running = true;
    step.target_ms = target_ms;
    step.image = "serving";
    return step;
}

step_spec make_filling(std::uint32_t count) {
    step_spec step;
    step.count = count;
    step.millicores = 6000;
    step.memory_mb = 1000;
    step.estimate_ms = 2000;
    step.is_filling = true;
    step.checkpointing = true;
    step.image = "filling";
    return step;
}

/// Confirms all starts, then answers the next hold at a worker with its runs: serving tasks with this tail
/// latency, filling tasks with this use and progress.
void run_all(dispatch_world& world, const std::string& worker, std::int64_t tail, std::int64_t used,
             std::int64_t percent = 20) {
    for (const auto& start : world.take<start_order>()) {
        world.answer(start);
    }
    world.wait_for_hold(worker);
    hold_answer list;
    for (const auto& [key, track] : world.find_worker(worker)->runs) {
        const auto& spec = world.scheduler.find_track(key)->get_spec();
        list.running.push_back({key, "", spec.long_running ? 100 : percent, spec.is_serving() ? tail : used});
    }
    world.answer_hold(worker, list);
}

/// Starts the waiting serving tasks on `w1`, then `count` filling tasks without checkpoints, at 40% progress
/// and full speed. Returns the paces of the filling tasks.
std::map<run_key, int> start_beside_serving(dispatch_world& world, std::uint32_t count) {
    world.advance(seconds{2}); // the only worker is kept free for short tasks while serving tasks can wait
    run_all(world, "w1", 15, 0);
    auto filling = make_filling(count);
    filling.checkpointing = false;
    world.submit({filling}, 3, 2);
    run_all(world, "w1", 15, 6000, 40);
    std::map<run_key, int> paces;
    for (const auto& [key, track] : world.find_worker("w1")->runs) {
        if (world.scheduler.find_track(key)->get_spec().is_filling) {
            paces[key] = 100;
        }
    }
    return paces;
}

/// Confirms the pace orders and records the paces.
void apply_pace_orders(dispatch_world& world, std::map<run_key, int>& paces) {
    for (const auto& order : world.take<pace_order>()) {
        world.scheduler.on_pace(order.run, order.percent, {}, world.now);
        paces[order.run] = order.percent;
    }
}

TEST(dispatcher_pressure, slows_filling_tasks_beside_a_tail_over_its_target) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_serving(3)});
    world.advance(seconds{2}); // the only worker is kept free for short tasks while serving tasks can wait
    run_all(world, "w1", 15, 0);
    world.submit({make_filling(2)}, 3, 2);
    run_all(world, "w1", 15, 6000);
    EXPECT_TRUE(world.take<pace_order>().empty());
    world.advance(milliseconds{300});
    run_all(world, "w1", 120, 6000);
    const auto paces = world.take<pace_order>();
    ASSERT_EQ(paces.size(), 2U);
    EXPECT_LE(paces[0].percent + paces[1].percent, 61); // seven tenths of all pressure are removed
}

/// Recorded load pattern: two filling tasks that cannot be moved without loss of work run beside a serving
/// task whose own load rises. One was stopped and the other slowed repeatedly to the same third, and the tail
/// latency stayed at 1.2 to 1.8 times its target for 10 s.
TEST(dispatcher_pressure, stops_all_that_keeps_a_tail_over_its_target_for_long) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_serving(3)});
    auto paces = start_beside_serving(world, 2);
    ASSERT_EQ(paces.size(), 2U);
    const auto are_all_stopped = [&paces] {
        return std::all_of(paces.begin(), paces.end(), [](const auto& item) { return item.second == 0; });
    };
    duration over{};
    for (std::int64_t observation = 0; !are_all_stopped() && over < seconds{4};
         ++observation) { // a tail may exceed its target for 4 s
        world.advance(milliseconds{380});
        over += milliseconds{380};
        run_all(world, "w1", 58 + observation % 3, 3000, 40);
        apply_pace_orders(world, paces);
    }
    EXPECT_LT(over, seconds{3});
}

/// Recorded load pattern: three filling tasks run beside two serving groups. One group requires the first two
/// to stop. For the other, at ten times its target, the pass found the first one stopped and looked no
/// further. The third kept running, ever faster, for 4 s.
TEST(dispatcher_pressure, slows_what_is_left_where_others_are_stopped_already) {
    dispatch_world world;
    world.add_worker("w1");
    auto first = make_serving(1);
    first.image = "first";
    first.target_ms = 700; // above its tail latency, with little headroom
    world.submit({first});
    world.submit({make_serving(2)});
    auto paces = start_beside_serving(world, 3);
    ASSERT_EQ(paces.size(), 3U);
    for (std::int64_t observation = 0; observation < 8; ++observation) {
        world.advance(milliseconds{380});
        run_all(world, "w1", 500 + observation, 3000, 40);
        apply_pace_orders(world, paces);
    }
    for (const auto& [key, pace] : paces) {
        EXPECT_EQ(pace, 0) << key.task.index;
    }
}

/// Load pattern: the rest of an overload. Small filling tasks take free capacity as soon as there is any, so
/// that a larger one never ran, in a pool of which half was not even reserved.
TEST(dispatcher_pressure, places_a_large_filling_task_on_a_shared_worker_rather_than_never) {
    dispatch_world world;
    world.add_worker("w1", {20'000, 256'000, 0});
    world.submit({make_filling(3)}, 3, 2); // 18 of 20 cores
    EXPECT_EQ(world.take<start_order>().size(), 3U);
    const auto large = world.submit({make_filling(2)}, 3, 2);
    EXPECT_TRUE(world.take<start_order>().empty());
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty());
    world.advance(seconds{1});
    const auto starts = world.take<start_order>();
    ASSERT_EQ(starts.size(), 1U); // one keeps the job going
    EXPECT_EQ(starts[0].run.task.step.job, large);
}

/// A worker full of filling tasks that stay, beside a job whose tasks take `length` each.
class crowded_worker {
public:
    explicit crowded_worker(duration length) : m_length(length) {
        m_world.add_worker("w1", {20'000, 256'000, 0});
        m_world.submit({make_filling(3)}, 3, 2);
        m_world.submit({make_filling(60)}, 3, 2);
        m_staying = m_world.take<start_order>().size();
    }

    /// Advances the clock. Returns true when at least one task of the job runs afterwards.
    bool step(duration time) {
        m_world.advance(time);
        for (const auto& start : m_world.take<start_order>()) {
            m_world.answer(start);
            m_ends.emplace(start.run, m_world.now + m_length);
        }
        if (m_world.find_worker("w1")->is_hold_pending) {
            answer_hold();
        }
        return !m_ends.empty();
    }

    [[nodiscard]] std::size_t count_staying() const { return m_staying; }

private:
    void answer_hold() {
        hold_answer list;
        for (const auto& [key, track] : m_world.find_worker("w1")->runs) {
            const auto end = m_ends.find(key);
            if (end == m_ends.end() || end->second > m_world.now) {
                list.running.push_back({key, "", 20, 6000});
                continue;
            }
            m_ended.push_back({++m_end_number, key, run_end::done, ""});
            m_ends.erase(end);
        }
        list.ended = m_ended;
        m_world.answer_hold("w1", list);
    }

    dispatch_world m_world;
    duration m_length;
    std::size_t m_staying = 0;
    std::map<run_key, time_point> m_ends; ///< when each running task of the job ends
    std::vector<run_end_entry> m_ended;
    std::uint64_t m_end_number = 0;
};

/// Nothing of a job ran at several looks in a row, since it waited again after each of its tasks.
TEST(dispatcher_pressure, lets_a_job_that_has_starved_not_wait_again_after_each_task) {
    constexpr duration interval = milliseconds{50};
    constexpr std::size_t look_distance = 30; // intervals; three looks span 3 s
    for (const auto length :
         {milliseconds{600}, milliseconds{1000}, milliseconds{1400}, milliseconds{2200}}) {
        crowded_worker worker(length);
        ASSERT_EQ(worker.count_staying(), 3U);
        while (!worker.step(interval)) {
        }
        std::vector<bool> is_running;
        is_running.reserve(600);
        for (int count = 0; count < 600; ++count) {
            is_running.push_back(worker.step(interval));
        }
        std::size_t unlucky = 0;
        for (std::size_t look = 0; look + 2 * look_distance < is_running.size(); ++look) {
            unlucky += !is_running[look] && !is_running[look + look_distance] &&
                               !is_running[look + 2 * look_distance]
                           ? 1
                           : 0;
        }
        EXPECT_EQ(unlucky, 0U) << "of tasks that take " << to_milliseconds(length) << " ms";
    }
}

/// Fills `w1` with filling tasks that stay, starts the first of `tasks` tasks of a job on `w2`, then lets
/// that worker fall silent. Returns the job.
job_id lose_worker_of_job(dispatch_world& world, std::uint32_t tasks) {
    world.add_worker("w1", {20'000, 256'000, 0});
    world.submit({make_filling(3)}, 3, 2);
    world.add_worker("w2", {6'000, 256'000, 0});
    const auto job = world.submit({make_filling(tasks)}, 3, 2);
    const auto starts = world.take<start_order>();
    EXPECT_EQ(starts.size(), 4U);
    for (const auto& start : starts) {
        world.answer(start);
    }
    EXPECT_EQ(world.find_worker("w2")->runs.size(), 1U);
    run_all(world, "w2", 0, 6000);
    for (int failures = 0; failures < silent_after_failures; ++failures) {
        world.wait_for_hold("w2");
        world.fail_hold("w2");
    }
    return job;
}

/// A run on a worker that was lost kept its job from counting as one that stands still.
TEST(dispatcher_pressure, places_a_task_of_a_job_whose_only_run_is_on_a_lost_worker) {
    dispatch_world world;
    const auto job = lose_worker_of_job(world, 2);
    const auto silent_since = world.now;
    std::vector<start_order> starts;
    while (starts.empty() && world.now - silent_since < seconds{20}) {
        world.advance(milliseconds{100});
        starts = world.take<start_order>();
    }
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].run.task.step.job, job);
    EXPECT_LE(world.now - silent_since, seconds{3});
}

/// A job that has starved waited again after each of its tasks while it had a run on a lost worker.
TEST(dispatcher_pressure, lets_a_job_with_a_run_on_a_lost_worker_not_wait_again_after_each_task) {
    dispatch_world world;
    lose_worker_of_job(world, 12);
    std::vector<run_end_entry> ended;
    for (int task = 0; task < 3; ++task) { // the lease of the lost worker lapses later
        const auto idle_since = world.now;
        std::vector<start_order> starts;
        while (starts.empty() && world.now - idle_since < seconds{3}) {
            world.advance(milliseconds{50});
            starts = world.take<start_order>();
        }
        ASSERT_EQ(starts.size(), 1U);
        if (task > 0) {
            EXPECT_LT(to_milliseconds(world.now - idle_since), 1500);
        }
        world.answer(starts[0]);
        world.advance(milliseconds{600});
        world.wait_for_hold("w1");
        hold_answer list;
        for (const auto& [key, track] : world.find_worker("w1")->runs) {
            if (key != starts[0].run) {
                list.running.push_back({key, "", 20, 6000});
            }
        }
        ended.push_back({ended.size() + 1, starts[0].run, run_end::done, ""});
        list.ended = ended;
        world.answer_hold("w1", list);
    }
}

/// A worker of 64 cores with one serving task of 10 cores, whose tail depends on the filling tasks beside it.
class loaded_worker {
public:
    explicit loaded_worker(std::int64_t tail) : m_tail(tail) {
        world.add_worker("w1");
        world.submit({make_serving(1)});
        run_for(seconds{6});
    }

    /// Answers all orders for this time. Returns the time until the first filling task ran, or nothing.
    std::optional<duration> run_for(duration length) {
        std::optional<duration> first_fill;
        const auto begin = world.now;
        while (world.now - begin < length) {
            world.advance(milliseconds{20});
            answer_orders();
            observe_tail();
            if (!first_fill.has_value() && !m_paces.empty()) {
                first_fill = world.now - begin;
            }
        }
        return first_fill;
    }

    /// Sets the tail without filling tasks; 0 when the serving task reports none.
    void set_tail(std::int64_t tail) { m_tail = tail; }
    /// Returns the longest time on end for which filling tasks kept the tail over its target.
    [[nodiscard]] duration get_longest_harm() const { return m_longest_harm; }

    dispatch_world world;

private:
    [[nodiscard]] std::int64_t get_tail() const {
        std::int64_t pace = 0;
        for (const auto& [key, percent] : m_paces) {
            pace += percent;
        }
        return m_tail == 0 ? 0 : m_tail + tail_rise * pace / 100;
    }

    void observe_tail() {
        const bool is_harmed = m_tail <= target_ms && get_tail() > target_ms;
        m_harmed_since = is_harmed ? std::min(m_harmed_since, world.now) : time_point::max();
        m_longest_harm = is_harmed ? std::max(m_longest_harm, world.now - m_harmed_since) : m_longest_harm;
    }

    void answer_orders() {
        for (const auto& start : world.take<start_order>()) {
            world.answer(start);
            if (start.job->steps[start.run.task.step.step].is_filling) {
                m_paces[start.run] = 100;
            }
        }
        apply_pace_orders(world, m_paces);
        std::vector<run_end_entry> ended;
        for (const auto& stop : world.take<stop_order>()) {
            m_paces.erase(stop.run);
            ended.push_back({++m_ends, stop.run, run_end::stopped, {}});
            world.answer(stop);
        }
        m_ended.insert(m_ended.end(), ended.begin(), ended.end());
        if (world.now >= m_next_list && world.find_worker("w1")->is_hold_pending) {
            m_next_list = world.now + milliseconds{340};
            hold_answer list;
            for (const auto& [key, track] : world.find_worker("w1")->runs) {
                const auto& spec = world.scheduler.find_track(key)->get_spec();
                if (spec.is_serving()) {
                    const auto noise = get_tail() == 0 ? 0 : ++m_lists % 2;
                    list.running.push_back({key, "", 100, get_tail() + noise});
                } else if (m_paces.contains(key)) {
                    list.running.push_back({key, "", 30, spec.millicores * m_paces.at(key) / 100});
                }
            }
            list.ended = std::exchange(m_ended, {});
            world.answer_hold("w1", list);
        }
    }

    static constexpr std::int64_t tail_rise = 30; // ms, by a filling task at full speed

    std::int64_t m_tail;
    std::map<run_key, int> m_paces;
    std::vector<run_end_entry> m_ended;
    std::uint64_t m_ends = 0;
    std::int64_t m_lists = 0;
    time_point m_next_list{};
    time_point m_harmed_since = time_point::max();
    duration m_longest_harm{};
};

TEST(dispatcher_pressure, starts_a_filling_task_beside_a_serving_one_that_no_longer_reports_a_tail) {
    loaded_worker worker(200);
    worker.set_tail(0);
    worker.run_for(seconds{2});
    worker.world.submit({make_filling(1)}, 3, 2);
    const auto waited = worker.run_for(seconds{20});
    ASSERT_TRUE(waited.has_value());
    EXPECT_LE(to_milliseconds(*waited), 3000);
}

TEST(dispatcher_pressure, starts_a_filling_task_in_an_idle_pool_where_all_tails_are_near_their_target) {
    loaded_worker worker(47);
    worker.world.submit({make_filling(1)}, 3, 2);
    const auto waited = worker.run_for(seconds{20});
    ASSERT_TRUE(waited.has_value());
    EXPECT_LE(to_milliseconds(*waited), 3000);
    EXPECT_LT(to_milliseconds(worker.get_longest_harm()), 2000); // 4500 are allowed
}

TEST(dispatcher_pressure, places_filling_tasks_of_starving_jobs_on_unrequested_cores_only) {
    loaded_worker worker(47);
    auto large = make_filling(1);
    large.millicores = 30'000;
    for (int number = 0; number < 4; ++number) {
        worker.world.submit({large}, 3, 2);
    }
    for (int number = 0; number < 100; ++number) {
        worker.run_for(milliseconds{100});
        EXPECT_LE(worker.world.find_worker("w1")->filling_millicores, 54'000);
    }
}

/// Load pattern: an overload with many times as many filling tasks as find room beside serving tasks at half
/// load.
TEST(dispatcher_pressure, places_nearer_to_the_target_the_more_filling_tasks_wait) {
    std::vector<std::size_t> running;
    for (const std::uint32_t waiting : {1U, 40U}) {
        dispatch_world world;
        world.add_worker("w1");
        world.submit({make_serving(3)});
        world.advance(seconds{2});
        for (int observation = 0; observation < 10; ++observation) {
            world.advance(milliseconds{300});
            run_all(world, "w1", 36 + observation % 2, 0);
        }
        std::size_t max_running = 0;
        world.submit({make_filling(waiting)}, 3, 2);
        for (int observation = 0; observation < 20; ++observation) {
            world.advance(milliseconds{300});
            run_all(world, "w1", 36 + observation % 2, 6000);
            max_running = std::max<std::size_t>(max_running, world.find_worker("w1")->filling_runs);
        }
        running.push_back(max_running);
    }
    EXPECT_EQ(running[0], 1U); // none by the limit without a backlog
    EXPECT_GE(running[1], 4U);
}

TEST(dispatcher_pressure, restores_the_pace_of_filling_tasks_when_the_tail_allows) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_serving(3)});
    world.advance(seconds{2}); // the only worker is kept free for short tasks while serving tasks can wait
    run_all(world, "w1", 15, 0);
    world.submit({make_filling(1)}, 3, 2);
    run_all(world, "w1", 15, 6000);
    world.advance(milliseconds{300});
    run_all(world, "w1", 70, 6000);
    for (const auto& pace : world.take<pace_order>()) {
        world.scheduler.on_pace(pace.run, pace.percent, {}, world.now);
    }
    bool is_fast_again = false;
    for (int observation = 0; observation < 10 && !is_fast_again; ++observation) {
        world.advance(milliseconds{300});
        run_all(world, "w1", 13, 3000);
        for (const auto& pace : world.take<pace_order>()) {
            world.scheduler.on_pace(pace.run, pace.percent, {}, world.now);
            is_fast_again = pace.percent == 100;
        }
    }
    EXPECT_TRUE(is_fast_again);
}

TEST(dispatcher_pressure, moves_tasks_away_from_a_worker_whose_tails_no_filling_task_explains) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_serving(3)});
    world.advance(seconds{2}); // the only worker is kept free for short tasks while serving tasks can wait
    run_all(world, "w1", 15, 0);
    world.submit({make_filling(2)}, 3, 2);
    run_all(world, "w1", 15, 6000);
    world.advance(milliseconds{300});
    run_all(world, "w1", 2100, 6000); // the worker itself is slow
    const auto stops = world.take<stop_order>();
    EXPECT_EQ(stops.size(), 2U);
    EXPECT_TRUE(world.take<pace_order>().empty()); // pacing would not help
    world.submit({make_filling(1)}, 3, 2);
    EXPECT_TRUE(world.take<start_order>().empty());
}

TEST(dispatcher_pressure, keeps_a_worker_free_for_short_tasks_while_serving_tasks_can_wait) {
    dispatch_world world;
    for (int number = 1; number <= 4; ++number) {
        world.add_worker("w" + std::to_string(number), {20000, 256000, 0});
    }
    world.submit({make_serving(8)}); // would take all four
    std::set<std::string> used;
    for (const auto& start : world.take<start_order>()) {
        used.insert(start.target.worker.id);
    }
    EXPECT_EQ(used.size(), 3U);
    world.advance(seconds{1});
    EXPECT_TRUE(world.take<start_order>().empty());
    world.advance(seconds{1}); // serving tasks may not wait longer while there is room
    EXPECT_EQ(world.take<start_order>().size(), 2U);
}

TEST(dispatcher_pressure, a_new_leader_begins_with_what_was_learned) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_serving(3)});
    world.advance(seconds{2});
    run_all(world, "w1", 15, 0);
    world.submit({make_filling(1)}, 3, 2);
    for (int observation = 0; observation < 10; ++observation) {
        run_all(world, "w1", 15 + observation % 2, 6000);
        world.advance(milliseconds{300});
    }
    const auto saved = world.job_state.get_pressure();
    ASSERT_EQ(saved.size(), 1U);
    EXPECT_EQ(saved[0].serving, "serving");
    EXPECT_EQ(saved[0].filling, "filling");
    EXPECT_LT(saved[0].mean, 0.8); // a pair with a low slowdown factor
    job_state_machine restored;
    ASSERT_TRUE(restored.load(world.job_state.save()));
    EXPECT_EQ(restored.get_pressure(), saved);
}

TEST(leader_load, reports_no_strain_until_little_time_is_left) {
    EXPECT_EQ(leader_load{}.get_strain(), 0.0);
    EXPECT_EQ((leader_load{0.65, {}}.get_strain()), 0.0);
    EXPECT_GT((leader_load{0.85, {}}.get_strain()), 0.4);
    EXPECT_EQ((leader_load{1.0, {}}.get_strain()), 1.0);
}

/// Load pattern: 1,800 workers that each require a check three times a second, and a leader without time
/// for it.
TEST(dispatcher_pressure,
     checks_mixed_workers_less_often_under_strain_and_at_the_normal_rate_right_after_it) {
    dispatch_world world;
    world.add_worker("w1");
    world.submit({make_serving(3)});
    ASSERT_EQ(start_beside_serving(world, 2).size(), 2U);
    const auto get_wait = [&] {
        run_all(world, "w1", 15, 6000);
        static_cast<void>(world.take<hold_order>());
        world.wait_for_hold("w1");
        return world.take<hold_order>().back().wait;
    };
    EXPECT_EQ(get_wait(), milliseconds{350});
    world.scheduler.on_load({1.0, {}});
    EXPECT_EQ(get_wait(), seconds{1});
    world.scheduler.on_load({0.3, {}});
    EXPECT_EQ(get_wait(), milliseconds{350});
}

} // namespace
} // namespace poplarpitch
