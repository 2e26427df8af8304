// Workers that are slow compared with their pool: new tasks go elsewhere, tasks that end are moved where that
// ends them sooner, long-running tasks only within the limit of their step.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/simulated_worker.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration tick = milliseconds{10};
constexpr duration heartbeat_interval = seconds{1};
constexpr duration job_interval = milliseconds{250};
constexpr int worker_count = 24;
constexpr int slow_count = worker_count / 4;
constexpr double slow_speed = 1 / 7.5;
constexpr std::int64_t target_ms = 100;
constexpr duration filling_length = milliseconds{2200};
constexpr duration short_length = milliseconds{650};

struct speed_world_settings {
    bool is_on = true;
    std::uint64_t seed = 1;
    int lost_answers_percent = 0;            ///< of the answers to stops
    std::string filling_image = "filling-a"; ///< disturbs serving tasks little
};

/// A dispatch_world with simulated workers whose speed can be changed, under a steady load.
class speed_world {
public:
    explicit speed_world(const speed_world_settings& settings = {})
        : m_world(make_settings(settings)), m_settings(settings), m_random(settings.seed) {
        for (int number = 0; number < worker_count; ++number) {
            const auto id = "w" + std::to_string(10 + number);
            m_world.add_worker(id);
            worker_report report;
            report.incarnation = {id, 0};
            report.pool = world_pool;
            report.capacity = {64000, 256000, 0};
            m_workers.emplace(id, simulated_worker(report, time_point{}));
            m_workers.at(id).report_loads();
        }
    }

    /// Submits a serving job and returns its id.
    job_id submit_serving(std::uint32_t count, std::optional<std::uint32_t> max_unavailable) {
        auto step = make_step(count);
        step.millicores = 13000;
        step.memory_mb = 1000;
        step.long_running = true;
        step.target_ms = target_ms;
        step.image = "serving-a";
        step.max_unavailable = max_unavailable;
        return m_world.submit({step});
    }
    /// Lets a job of 10 short tasks and one of 10 filling tasks arrive in each interval.
    void start_load() { m_next_jobs = m_world.now; }
    void set_speed(int first, int count, double speed) {
        for (int number = first; number < first + count; ++number) {
            m_workers.at("w" + std::to_string(10 + number)).set_speed(speed, m_world.now);
        }
    }
    /// Lets the stops of this worker go without an answer, and without effect, for the time given.
    void lose_stops(duration length) { m_stops_lost_until = m_world.now + length; }
    /// Lets a new leader take over that knows only the replicated job state.
    void change_leader() {
        m_world.start_leading();
        for (auto& [id, worker] : m_workers) {
            static_cast<void>(worker.take_pending_hold());
        }
        for (const auto& [id, worker] : m_workers) {
            m_world.send_heartbeat(id);
        }
    }

    void run(duration length) {
        const auto end = m_world.now + length;
        while (m_world.now < end) {
            step();
        }
    }

    [[nodiscard]] dispatch_world& get_world() { return m_world; }
    [[nodiscard]] const dispatch_counts& get_counts() const { return m_world.scheduler.get_counts(); }
    /// Returns the number of starts at these workers since the last call.
    std::size_t take_starts(int first, int count) {
        std::size_t starts = 0;
        for (int number = first; number < first + count; ++number) {
            starts += std::exchange(m_starts["w" + std::to_string(10 + number)], 0);
        }
        return starts;
    }
    [[nodiscard]] std::size_t count_slow() const {
        return static_cast<std::size_t>(
            std::count_if(m_workers.begin(), m_workers.end(), [&](const auto& item) {
                const auto* state = m_world.find_worker(item.first);
                return state != nullptr && state->speed.is_slow();
            }));
    }
    /// Returns the stops of long-running tasks since the start.
    [[nodiscard]] std::size_t get_serving_stops() const { return m_serving_stops; }
    /// Returns the most tasks of a step that were away right after a stop, less the step's limit.
    [[nodiscard]] int get_most_over_limit() const { return m_most_over_limit; }
    [[nodiscard]] std::size_t get_done() const { return m_done; }
    /// Returns all starts and stops in order.
    [[nodiscard]] std::string get_journal() const { return m_journal; }
    /// Returns how many runs of tasks that end are on these workers.
    [[nodiscard]] std::size_t count_ending_runs(int first, int count) const {
        std::size_t runs = 0;
        for (int number = first; number < first + count; ++number) {
            for (const auto& [key, run] : m_workers.at("w" + std::to_string(10 + number)).get_runs()) {
                runs += run.get_spec(key).long_running ? 0 : 1;
            }
        }
        return runs;
    }
    [[nodiscard]] std::set<std::string> find_hosts(job_id job) const {
        std::set<std::string> hosts;
        for (const auto& [id, worker] : m_workers) {
            for (const auto& [key, run] : worker.get_runs()) {
                if (key.task.step.job == job) {
                    hosts.insert(id);
                }
            }
        }
        return hosts;
    }
    std::map<std::string, simulated_worker>& get_workers() { return m_workers; }

private:
    static dispatch_settings make_settings(const speed_world_settings& settings) {
        dispatch_settings made;
        made.decisions.move_from_slow = settings.is_on;
        return made;
    }

    void step() {
        if (m_world.now >= m_next_jobs) {
            m_next_jobs = m_world.now + job_interval;
            auto filling = make_step(10);
            filling.millicores = 7000;
            filling.estimate_ms = to_milliseconds(filling_length);
            filling.is_filling = true;
            filling.image = m_settings.filling_image;
            filling.checkpointing = false;
            m_lengths[m_world.submit({filling})] = filling_length;
            auto quick = make_step(10);
            quick.millicores = 10000;
            quick.estimate_ms = to_milliseconds(short_length);
            m_lengths[m_world.submit({quick}, 3, -1)] = short_length;
        }
        if (m_world.now >= m_next_heartbeat) {
            m_next_heartbeat = m_world.now + heartbeat_interval;
            for (const auto& [id, worker] : m_workers) {
                m_world.send_heartbeat(id);
            }
        }
        m_world.advance(tick);
        deliver();
        for (auto& [id, worker] : m_workers) {
            worker.advance(m_world.now);
        }
    }

    void deliver() {
        for (const auto& order : m_world.take<stop_order>()) {
            auto& worker = m_workers.at(order.target.worker.id);
            record_stop(order, worker);
            const bool is_lost = m_world.now < m_stops_lost_until;
            const bool is_unanswered =
                is_lost || static_cast<int>(m_random() % 100) < m_settings.lost_answers_percent;
            if (!is_lost) {
                worker.receive(order, m_world.now, [](const order_outcome&) {});
            }
            m_world.answer(order, is_unanswered ? std::optional{order_failure::unanswered} : std::nullopt);
        }
        for (const auto& order : m_world.take<pace_order>()) {
            std::optional<order_failure> failure;
            m_workers.at(order.target.worker.id)
                .receive(order, m_world.now,
                         [&](const order_outcome& outcome) { failure = outcome.failure; });
            m_world.scheduler.on_pace(order.run, order.percent, {failure, 0}, m_world.now);
        }
        for (const auto& order : m_world.take<start_order>()) {
            const auto found = m_lengths.find(order.run.task.step.job);
            const auto length = found == m_lengths.end() ? duration{} : found->second;
            std::optional<order_failure> failure;
            m_workers.at(order.target.worker.id)
                .receive(order, length, m_world.now,
                         [&](const order_outcome& outcome) { failure = outcome.failure; });
            ++m_starts[order.target.worker.id];
            m_journal += order.target.worker.id + " " + std::to_string(order.run.task.step.job) + "." +
                         std::to_string(order.run.task.index) + "\n";
            m_world.answer(order, failure);
        }
        for (const auto& order : m_world.take<hold_order>()) {
            const auto id = order.target.worker.id;
            m_workers.at(id).receive(
                order, m_world.now, [this, id, term = m_world.term](const auto& outcome) {
                    if (term != m_world.term) {
                        return;
                    }
                    m_done += static_cast<std::size_t>(
                        std::count_if(outcome.answer.ended.begin(), outcome.answer.ended.end(),
                                      [](const auto& row) { return row.end == run_end::done; }));
                    if (outcome.failure.has_value()) {
                        m_world.fail_hold(id, *outcome.failure);
                    } else {
                        m_world.answer_hold(id, outcome.answer);
                    }
                });
        }
    }

    /// Compares what the workers run with the limit of the step, right when a stop is ordered.
    void record_stop(const stop_order& order, const simulated_worker& worker) {
        m_journal += "stop " + order.target.worker.id + "\n";
        const auto found = worker.get_runs().find(order.run);
        if (found == worker.get_runs().end() || !found->second.get_spec(order.run).long_running) {
            return;
        }
        const auto& spec = found->second.get_spec(order.run);
        m_stopped.insert(order.run);
        ++m_serving_stops;
        std::uint32_t at_work = 0;
        for (const auto& [id, other] : m_workers) {
            for (const auto& [key, run] : other.get_runs()) {
                const bool is_stopped = m_stopped.contains(key) || run.stopped_at != time_point::max();
                at_work += key.task.step == order.run.task.step && !is_stopped ? 1 : 0;
            }
        }
        const auto away = static_cast<int>(spec.count - at_work);
        m_most_over_limit =
            std::max(m_most_over_limit, away - static_cast<int>(spec.max_unavailable.value_or(0)));
    }

    dispatch_world m_world;
    speed_world_settings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, simulated_worker> m_workers;
    std::map<job_id, duration> m_lengths;
    std::map<std::string, std::size_t> m_starts;
    std::set<run_key> m_stopped;
    time_point m_next_jobs = time_point::max();
    time_point m_next_heartbeat{};
    time_point m_stops_lost_until{};
    std::size_t m_serving_stops = 0;
    int m_most_over_limit = -1000;
    std::size_t m_done = 0;
    std::string m_journal;
};

/// Guards against new tasks that are placed on slow workers.
TEST(dispatcher_speed, places_new_tasks_elsewhere_within_two_seconds) {
    speed_world world;
    world.start_load();
    world.run(seconds{6});
    EXPECT_EQ(world.count_slow(), 0U);
    world.set_speed(0, slow_count, slow_speed);
    world.run(seconds{2});
    world.take_starts(0, slow_count);
    world.take_starts(slow_count, worker_count - slow_count);
    world.run(seconds{4});
    const auto slow = world.take_starts(0, slow_count);
    const auto others = world.take_starts(slow_count, worker_count - slow_count);
    EXPECT_LE(slow, 3U * slow_count) << "only the tasks that try them; elsewhere " << others;
    EXPECT_GT(others, 200U);
}

/// Guards against tasks that stay on slow workers, and against moves that cost more than they gain.
TEST(dispatcher_speed, moves_tasks_that_end_sooner_elsewhere) {
    speed_world on;
    speed_world off{{false}};
    for (auto* world : {&on, &off}) {
        world->start_load();
        world->run(seconds{6});
        world->set_speed(0, slow_count, slow_speed);
        world->run(seconds{6});
    }
    EXPECT_GT(on.get_counts().moved_from_slow, 0U);
    EXPECT_LE(on.count_ending_runs(0, slow_count), 2U * slow_count);
    EXPECT_GT(on.get_done(), off.get_done());
}

/// Guards against a worker that counts as slow although its tasks are paced or share a crowded worker.
TEST(dispatcher_speed, moves_nothing_while_all_workers_are_sound) {
    speed_world world;
    world.submit_serving(14, 2);
    world.submit_serving(14, 2);
    world.start_load();
    world.run(seconds{20});
    EXPECT_EQ(world.get_counts().moved_from_slow, 0U);
    EXPECT_EQ(world.count_slow(), 0U);
    EXPECT_EQ(world.get_serving_stops(), 0U);
}

/// Guards against a worker that counts as slow because its filling tasks are paced for its serving tasks, or
/// get no processor time beside the short tasks.
TEST(dispatcher_speed, moves_nothing_from_sound_workers_whose_filling_tasks_are_paced) {
    speed_world world({true, 1, 0, "filling-b"});
    for (int job = 0; job < 6; ++job) {
        world.submit_serving(14, 2);
    }
    world.start_load();
    std::size_t most_slow = 0;
    for (int round = 0; round < 80; ++round) {
        world.run(milliseconds{250});
        most_slow = std::max(most_slow, world.count_slow());
    }
    EXPECT_GT(world.get_counts().pace_orders, 0U);
    EXPECT_EQ(most_slow, 0U);
    EXPECT_EQ(world.get_counts().moved_from_slow, 0U);
}

/// Guards against a comparison with an absolute speed: the forecasts may be off for a whole pool.
TEST(dispatcher_speed, moves_nothing_in_a_pool_that_is_slow_as_a_whole) {
    speed_world world;
    world.submit_serving(14, 2);
    world.submit_serving(14, 2);
    world.start_load();
    world.run(seconds{6});
    world.set_speed(0, worker_count, 0.4);
    world.run(seconds{8});
    EXPECT_EQ(world.get_counts().moved_from_slow, 0U);
    EXPECT_EQ(world.get_serving_stops(), 0U);
}

/// Guards against workers that stay unused after they have recovered.
TEST(dispatcher_speed, uses_a_recovered_worker_again_within_about_a_second) {
    speed_world world;
    world.start_load();
    world.run(seconds{6});
    world.take_starts(0, slow_count);
    world.run(seconds{4});
    const auto before = world.take_starts(0, slow_count);
    world.set_speed(0, slow_count, slow_speed);
    world.run(seconds{8});
    EXPECT_GT(world.count_slow(), 0U);
    world.set_speed(0, slow_count, 1);
    world.run(milliseconds{1500});
    EXPECT_LE(world.count_slow(), 1U);
    world.take_starts(0, slow_count);
    world.run(seconds{4});
    const auto after = world.take_starts(0, slow_count);
    EXPECT_GE(after * 3, before * 2) << "before: " << before << ", after: " << after;
}

/// Guards against stops beyond the limit that a step states.
TEST(dispatcher_speed, moves_long_running_tasks_within_the_limit) {
    speed_world world;
    const auto first = world.submit_serving(14, 2);
    const auto second = world.submit_serving(14, 2);
    world.run(seconds{8});
    std::set<std::string> slow_hosts;
    for (const auto& job : {first, second}) {
        for (const auto& host : world.find_hosts(job)) {
            slow_hosts.insert(host);
        }
    }
    ASSERT_GE(slow_hosts.size(), 5U);
    const auto slow = *slow_hosts.begin();
    const int number = std::stoi(slow.substr(1)) - 10;
    world.set_speed(number, 1, slow_speed);
    world.run(seconds{8});
    EXPECT_GT(world.get_serving_stops(), 0U);
    EXPECT_LE(world.get_most_over_limit(), 0);
    EXPECT_FALSE(world.find_hosts(first).contains(slow));
    EXPECT_FALSE(world.find_hosts(second).contains(slow));
}

/// Guards against stops of steps that allow none.
TEST(dispatcher_speed, moves_no_long_running_task_with_the_limit_zero_or_without_one) {
    speed_world world;
    world.submit_serving(14, 0);
    world.submit_serving(14, std::nullopt);
    world.run(seconds{8});
    world.set_speed(0, slow_count, slow_speed);
    world.run(seconds{10});
    EXPECT_EQ(world.get_serving_stops(), 0U);
}

/// Guards against a second stop while the first one is not known to have been executed.
TEST(dispatcher_speed, counts_a_task_as_away_whose_stop_gets_no_answer) {
    speed_world world;
    world.submit_serving(14, 1);
    world.submit_serving(14, 1);
    world.run(seconds{8});
    world.lose_stops(seconds{6});
    for (int first = 0; first < worker_count; first += 4) {
        world.set_speed(first, 1, slow_speed);
    }
    world.run(seconds{6});
    EXPECT_LE(world.get_most_over_limit(), 0);
    world.run(seconds{6});
    EXPECT_LE(world.get_most_over_limit(), 0);
}

/// Guards against stops beyond the limit in any order of slowness, unanswered stops and new leaders.
TEST(dispatcher_speed, holds_the_limit_over_seeds_and_changes_of_the_leader) {
    const char* text = std::getenv("POPLARPITCH_SEEDS");
    const std::uint64_t seeds = text == nullptr ? 20 : std::strtoull(text, nullptr, 10);
    std::size_t stops = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        speed_world world({true, seed, 20});
        std::mt19937_64 random(seed);
        for (std::uint32_t limit = 0; limit < 4; ++limit) {
            world.submit_serving(10, limit);
        }
        world.run(seconds{7});
        for (int round = 0; round < 8; ++round) {
            for (int number = 0; number < worker_count; ++number) {
                world.set_speed(number, 1, random() % 4 == 0 ? slow_speed : 1);
            }
            world.run(milliseconds{500 + random() % 3000});
            if (random() % 3 == 0) {
                world.lose_stops(milliseconds{random() % 1500});
            }
            if (random() % 2 == 0) {
                world.change_leader();
            }
            world.run(milliseconds{500 + random() % 4000});
        }
        stops += world.get_serving_stops();
        ASSERT_LE(world.get_most_over_limit(), 0) << "seed " << seed;
    }
    EXPECT_GT(stops, seeds) << "the property says nothing without stops";
}

/// Guards against an effect of the part while its switch is off: the workers' speeds are not even recorded.
TEST(dispatcher_speed, records_nothing_and_orders_nothing_with_the_switch_off) {
    speed_world world{{false}};
    world.submit_serving(14, 2);
    world.submit_serving(14, 2);
    world.start_load();
    world.run(seconds{6});
    world.set_speed(0, slow_count, slow_speed);
    world.run(seconds{6});
    for (const auto& [id, worker] : world.get_workers()) {
        EXPECT_EQ(world.get_world().find_worker(id)->speed.get_speed(), 0) << id;
        EXPECT_EQ(world.get_world().find_worker(id)->tails_at, time_point{}) << id;
    }
    EXPECT_EQ(world.get_counts().moved_from_slow, 0U);
    EXPECT_EQ(world.get_serving_stops(), 0U);
}

/// Guards against an effect of the part where no worker is slow: the orders are those without it.
TEST(dispatcher_speed, gives_the_same_orders_with_and_without_the_switch_while_no_worker_is_slow) {
    speed_world on;
    speed_world off{{false}};
    for (auto* world : {&on, &off}) {
        world->submit_serving(14, 2);
        world->start_load();
        world->run(seconds{10});
    }
    EXPECT_EQ(on.get_journal(), off.get_journal());
}

} // namespace
} // namespace poplarpitch
