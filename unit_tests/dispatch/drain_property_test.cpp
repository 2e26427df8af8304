// Checks that nothing starts in a drained data centre, as its workers see it, while workers and leaders are
// disrupted in random ways, and that tasks start there again once the order is withdrawn.
#include "unit_tests/dispatch/crash_world.h"
#include "unit_tests/dispatch/long_running_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration placing_time = seconds{4};
constexpr duration calm_time = seconds{10};
constexpr std::int64_t max_pause_ms = 4000;  // between two events
constexpr std::int64_t max_length_ms = 5000; // of a disruption
constexpr double fill_of_both = 0.85;
constexpr std::uint32_t tasks_per_job = 2;
constexpr int events = 10;
constexpr int max_percent = 30; // of the workers, in one disruption

const std::vector<disruption_kind> kinds = {
    disruption_kind::loss,           disruption_kind::restart,       disruption_kind::failures,
    disruption_kind::slow_answers,   disruption_kind::unsent_orders, disruption_kind::cut,
    disruption_kind::refused_starts, disruption_kind::one_way_cut,   disruption_kind::late_orders,
    disruption_kind::leader_change,  disruption_kind::leader_change};

class drain_play {
public:
    explicit drain_play(std::uint64_t seed) : m_random(seed), m_world(make_settings(seed), seed) {}

    /// Drains data centres, withdraws the orders and disrupts workers and leaders, in random order.
    void run() {
        submit_long_running_job();
        m_world.run(placing_time);
        for (int number = 0; number < events; ++number) {
            pick(2) == 0 ? order_drain() : disrupt();
            submit_long_running_job();
            m_world.run(milliseconds{pick(max_pause_ms)});
        }
    }

    /// Withdraws all orders and checks that both data centres run tasks again.
    void check_return() {
        for (const auto* data_centre : world_data_centres) {
            m_world.drain(data_centre, true);
        }
        m_world.set_fill(fill_of_both); // more than one data centre holds
        m_world.run(milliseconds{max_length_ms} + calm_time);
        EXPECT_TRUE(m_world.are_drains_committed());
        for (const auto* data_centre : world_data_centres) {
            EXPECT_GT(m_world.count_runs_in(data_centre), 0U) << data_centre;
        }
        for (const auto job : m_long_running_jobs) {
            EXPECT_EQ(m_world.count_running(job), tasks_per_job) << "job " << job;
        }
    }

    void check_starts() const {
        for (const auto& start : m_world.get_starts_after_drain()) {
            ADD_FAILURE() << start;
        }
        for (const auto& violation : m_world.get_violations()) {
            ADD_FAILURE() << violation;
        }
    }

private:
    static long_running_world_settings make_settings(std::uint64_t seed) {
        long_running_world_settings settings;
        settings.fill = 0.4;
        settings.reports_start_times = seed % 2 == 0;
        settings.replacement_time = seconds{4};
        return settings;
    }

    std::int64_t pick(std::int64_t count) {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(count));
    }

    void order_drain() {
        const auto* data_centre = world_data_centres.at(static_cast<std::size_t>(pick(2)));
        m_world.drain(data_centre, pick(3) == 0);
    }

    void disrupt() {
        const auto kind = kinds.at(static_cast<std::size_t>(pick(static_cast<std::int64_t>(kinds.size()))));
        m_world.disrupt({kind, {}, milliseconds{pick(max_length_ms)}, static_cast<int>(pick(max_percent))});
    }

    void submit_long_running_job() {
        auto step = make_step(tasks_per_job);
        step.long_running = true;
        step.millicores = 1000;
        m_long_running_jobs.push_back(m_world.submit(step));
    }

    std::mt19937_64 m_random;
    long_running_world m_world;
    std::vector<job_id> m_long_running_jobs;
};

TEST(drain_property, starts_nothing_where_a_data_centre_is_drained_and_all_once_it_is_not) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        drain_play play(seed);
        play.run();
        play.check_starts();
        play.check_return();
    }
}

} // namespace
} // namespace poplarpitch
