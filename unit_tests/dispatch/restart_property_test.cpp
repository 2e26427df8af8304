// Checks invariants when workers restart under the same ids: at once or after seconds, many at a time, during
// partitions, with clocks stepped back, with late orders and heartbeats, and with leader losses.
// POPLARPITCH_SEEDS sets the number of seeds; each failure names its seed.
#include "unit_tests/dispatch/crash_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace poplarpitch {
namespace {

constexpr duration traffic_time = seconds{25};
constexpr duration recovery_time = seconds{45}; // a job that has not ended by then never ends
constexpr duration arrival_interval = milliseconds{250};
constexpr duration wave_interval = seconds{5};
constexpr int max_attempts = 3; // of the world's jobs
constexpr int min_crashes = 2;  // no job may fail with fewer crashes of one task

/// Submits jobs that end and long-running jobs that use about half of the workers' capacity.
class restart_traffic {
public:
    restart_traffic(const crash_world_settings& settings, std::uint64_t seed)
        : m_world(settings, seed), m_random(seed + 1) {}

    /// Runs the traffic. `wave` is the share of the workers that crash at once every `wave_interval`.
    void run(double wave = 0) {
        for (duration passed{0}; passed < traffic_time; passed += arrival_interval) {
            if (passed % wave_interval == duration{0}) {
                m_world.crash_random_workers(wave);
            }
            submit_one();
            m_world.run(arrival_interval);
        }
        m_world.stop_faults();
        m_world.run(recovery_time);
    }

    void check_invariants() const {
        EXPECT_TRUE(m_world.get_violations().empty()) << m_world.get_violations().front();
        EXPECT_TRUE(m_world.find_stuck().empty())
            << m_world.find_stuck().size()
            << " stuck: " << get_stuck_name(m_world.find_stuck().front().reason);
        for (const auto& [id, tasks] : m_long_running) {
            if (get_phase(id) == job_phase::open) {
                EXPECT_EQ(m_world.count_running(id), tasks) << "of job " << id << " that lasts";
            }
        }
        for (const auto& [id, record] : m_world.get_job_state().get_jobs()) {
            EXPECT_TRUE(record.phase != job_phase::open || m_long_running.contains(id))
                << "job " << id << " never ended";
            const bool has_used_its_attempts = m_world.get_max_failures(id) >= max_attempts;
            if (record.phase == job_phase::failed && !has_used_its_attempts) {
                EXPECT_GE(m_world.get_max_crashes(id), min_crashes)
                    << "job " << id << " failed without cause";
            }
        }
    }

private:
    std::uint64_t pick(std::uint64_t least, std::uint64_t most) {
        return least + m_random() % (most - least + 1);
    }

    void submit_one() {
        auto step = make_step(static_cast<std::uint32_t>(pick(1, 10)));
        step.millicores = static_cast<std::int64_t>(pick(1, 4)) * 1000;
        step.memory_mb = static_cast<std::int64_t>(pick(1, 8)) * 500;
        step.long_running = pick(1, 20) == 1;
        step.checkpointing = pick(1, 4) == 1;
        step.speculative = !step.long_running && pick(1, 8) == 1;
        const auto length = milliseconds{pick(30, 2000)};
        step.estimate_ms = to_milliseconds(length);
        const auto id = m_world.submit({step}, length);
        if (step.long_running) {
            m_long_running[id] = static_cast<int>(step.count);
        }
    }

    [[nodiscard]] job_phase get_phase(job_id id) const { return m_world.get_job_state().find_job(id)->phase; }

    crash_world m_world;
    std::mt19937_64 m_random;
    std::map<job_id, int> m_long_running; ///< long-running jobs with their task counts
};

crash_world_settings make_settings() {
    crash_world_settings settings;
    settings.keeps_ids = true;
    settings.worker_crashes = 1;
    settings.restart_time = milliseconds{500};
    settings.restart_spread = seconds{1};
    return settings;
}

void run_all_seeds(const crash_world_settings& settings, double wave = 0) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        restart_traffic traffic(settings, seed);
        traffic.run(wave);
        traffic.check_invariants();
    }
}

TEST(restart_property, acknowledges_to_a_new_incarnation_no_end_that_it_has_not_listed) {
    run_all_seeds(make_settings());
}

TEST(restart_property, keeps_no_task_running_whose_end_a_new_incarnation_has_listed) {
    auto settings = make_settings();
    settings.failures = 0.5;
    settings.worker_crashes = 0.5;
    run_all_seeds(settings);
}

TEST(restart_property, holds_where_workers_start_again_at_once) {
    auto settings = make_settings();
    settings.restart_time = milliseconds{10};
    settings.restart_spread = milliseconds{50};
    run_all_seeds(settings);
}

TEST(restart_property, holds_where_a_third_of_all_workers_restart_at_one_moment) {
    auto settings = make_settings();
    settings.worker_crashes = 0;
    settings.failures = 0.3;
    run_all_seeds(settings, 0.35);
}

TEST(restart_property, holds_through_cuts_and_new_leaders) {
    auto settings = make_settings();
    settings.worker_partitions = 0.2;
    settings.leader_losses = 0.1;
    settings.lost_answers = 0.03;
    run_all_seeds(settings);
}

TEST(restart_property, holds_beside_late_orders_and_late_heartbeats) {
    auto settings = make_settings();
    settings.late_orders = 0.05;
    settings.late_heartbeats = 0.1;
    settings.lost_answers = 0.02;
    run_all_seeds(settings);
}

TEST(restart_property, holds_where_clocks_step_back) {
    auto settings = make_settings();
    settings.clock_steps = 1;
    settings.late_heartbeats = 0.1;
    settings.leader_losses = 0.05;
    run_all_seeds(settings);
}

} // namespace
} // namespace poplarpitch
