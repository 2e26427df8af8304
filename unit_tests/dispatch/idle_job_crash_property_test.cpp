// Checks that no job has nothing running for longer than allowed after crashes, restarts, partitions, losses
// of leaders, relays and power, late orders and drains: jobs of several steps, with tasks that fail or crash
// their workers. POPLARPITCH_SEEDS sets the number of seeds; each failure names its seed.
#include "unit_tests/dispatch/crash_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace poplarpitch {
namespace {

constexpr duration traffic_time = seconds{12};
constexpr duration arrival_interval = milliseconds{50};
constexpr duration max_partition = seconds{4};
constexpr duration longest_fault = seconds{8}; // a worker is cut off or starts again, with what follows
constexpr duration ending_time = seconds{14};  // from the end of the traffic until jobs are asked for
constexpr duration asking_time = seconds{4};   // longer than the 3 s for which a job may be idle
constexpr std::uint64_t max_look_phase_ms = 1500;
constexpr std::uint64_t crashing_part = 50; // one in this many jobs crashes its workers

/// Submits jobs of several steps, most of filling tasks, more than end in the time, and disrupts the world.
class idle_job_crash_traffic {
public:
    idle_job_crash_traffic(const crash_world_settings& settings, std::uint64_t seed)
        : m_world(settings, seed), m_random(seed + 1) {}

    void run() {
        for (duration passed{0}; passed < traffic_time; passed += arrival_interval) {
            submit_one();
            m_world.run(arrival_interval);
        }
        m_world.stop_faults();
        m_world.stop_crashes();
        m_world.watch_idle_jobs(milliseconds{pick(0, max_look_phase_ms)});
        m_world.run(longest_fault + ending_time);
        add_findings("at the end", m_world.get_idle_watch().find_idle());
        m_world.run(asking_time);
        add_findings("at the end", m_world.get_idle_watch().find_idle());
        for (const auto& item : m_world.get_idle_watch().get_found()) {
            if (item.finding == idle_finding::continuous) {
                add_findings("on the way", {item});
            }
        }
    }

    [[nodiscard]] const std::string& get_findings() const { return m_findings; }

private:
    std::uint64_t pick(std::uint64_t least, std::uint64_t most) {
        return least + m_random() % (most - least + 1);
    }

    void submit_one() {
        const bool is_filling = pick(1, 10) <= 8;
        const auto length = milliseconds{is_filling ? pick(300, 4000) : pick(100, 1500)};
        std::vector<step_spec> steps;
        const auto count = static_cast<std::uint32_t>(pick(1, 3));
        for (std::uint32_t number = 0; number < count; ++number) {
            auto step = make_step(static_cast<std::uint32_t>(pick(1, is_filling ? 12 : 4)));
            step.is_filling = is_filling;
            step.millicores = static_cast<std::int64_t>(pick(1, is_filling ? 6 : 3)) * 1000;
            step.memory_mb = static_cast<std::int64_t>(pick(1, 8)) * 100;
            step.checkpointing = pick(1, 2) == 1;
            step.gang = !is_filling && pick(1, 8) == 1;
            step.estimate_ms = to_milliseconds(length);
            if (number > 0) {
                step.depends_on = {static_cast<std::uint32_t>(pick(0, number - 1))};
            }
            steps.push_back(std::move(step));
        }
        const auto id = m_world.submit(steps, length);
        if (pick(1, crashing_part) == 1) {
            m_world.add_crashing_task({{id, 0, static_cast<std::uint32_t>(pick(0, count - 1))}, 0});
        }
    }

    void add_findings(const std::string& when, const std::vector<idle_job>& found) {
        for (const auto& item : found) {
            m_findings += "\n" + when + ": " + describe(item);
        }
    }

    crash_world m_world;
    std::mt19937_64 m_random;
    std::string m_findings;
};

void run_all_seeds(const crash_world_settings& settings) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        idle_job_crash_traffic traffic(settings, seed);
        traffic.run();
        EXPECT_EQ(traffic.get_findings(), "");
    }
}

crash_world_settings make_settings() {
    crash_world_settings settings;
    settings.crash_after = milliseconds{150};
    settings.commit_time = milliseconds{30};
    settings.failures = 0.5;
    settings.gangs_wait_for_members = true;
    settings.keeps_ids = true;
    settings.max_partition = max_partition;
    settings.restart_spread = seconds{1};
    return settings;
}

TEST(idle_job_crash_property, keeps_every_job_running_after_crashes_and_partitions) {
    auto settings = make_settings();
    settings.worker_crashes = 0.3;
    settings.worker_partitions = 0.2;
    settings.unhealthy_periods = 0.1;
    settings.lost_answers = 0.03;
    run_all_seeds(settings);
}

TEST(idle_job_crash_property, keeps_every_job_running_after_losses_of_leaders_relays_and_power) {
    auto settings = make_settings();
    settings.data_centres = 3;
    settings.leader_losses = 0.1;
    settings.relay_losses = 0.1;
    settings.relay_stalls = 0.1;
    settings.power_losses = 0.1;
    settings.restarts_after_power_loss = 0.2;
    settings.failures_after_power_loss = 0.2;
    run_all_seeds(settings);
}

TEST(idle_job_crash_property, keeps_every_job_running_after_late_orders_and_departures) {
    auto settings = make_settings();
    settings.late_orders = 0.05;
    settings.late_heartbeats = 0.05;
    settings.expired_orders = 0.02;
    settings.delayed_answers = 0.1;
    settings.broken_connections = 0.02;
    settings.departures = 0.2;
    settings.leader_losses = 0.05;
    run_all_seeds(settings);
}

} // namespace
} // namespace poplarpitch
