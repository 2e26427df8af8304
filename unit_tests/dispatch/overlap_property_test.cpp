// Checks invariants when answers, lists and orders overtake each other, relays stall, all control instances
// lose power together, and workers' clocks are slow: never two runs of a task at once, and no start after an
// end that was committed as done. POPLARPITCH_SEEDS sets the number of seeds; each failure names its seed.
#include "unit_tests/dispatch/crash_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration traffic_time = seconds{25};
constexpr duration recovery_time = seconds{45}; // a job that has not ended by then never ends
constexpr duration long_recovery_time = seconds{90};
constexpr duration arrival_interval = milliseconds{250};
constexpr duration max_task_time = seconds{4};
constexpr duration longer_than_lease = seconds{15};
constexpr duration partition_interval = seconds{12};
constexpr duration long_partition =
    milliseconds{9700}; // longer than a lease: only workers without runs may be partitioned
constexpr duration short_partition =
    milliseconds{3500}; // a lease lasts at least this long after the last list
constexpr duration idle_time = seconds{60};
constexpr duration traffic_time_after_idle = seconds{10}; // duration of the traffic that follows `idle_time`

struct traffic_settings {
    duration max_length = max_task_time;
    std::uint64_t jobs_per_gang = 12;
    bool has_long_running = true;
    duration recovery = recovery_time;
};

/// Submits jobs that end, long-running jobs and jobs that are cancelled, which use about half of the workers'
/// capacity.
class overlap_traffic {
public:
    overlap_traffic(const crash_world_settings& settings, std::uint64_t seed,
                    const traffic_settings& traffic = {})
        : m_world(settings, seed), m_random(seed + 1), m_traffic(traffic) {}

    void run(duration length) {
        for (duration passed{0}; passed < length; passed += arrival_interval) {
            submit_one();
            m_world.run(arrival_interval);
            cancel_one();
        }
    }

    void idle(duration length) { m_world.run(length); }

    /// Partitions half of the workers for `length`.
    void partition(duration length) { m_world.partition_random_workers(0.5, length); }

    void stop_faults() {
        m_world.stop_faults();
        m_world.run(m_traffic.recovery);
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
        }
    }

    [[nodiscard]] const crash_world& get_world() const { return m_world; }

private:
    std::uint64_t pick(std::uint64_t least, std::uint64_t most) {
        return least + m_random() % (most - least + 1);
    }

    void submit_one() {
        auto step = make_step(static_cast<std::uint32_t>(pick(1, 10)));
        step.millicores = static_cast<std::int64_t>(pick(1, 4)) * 1000;
        step.memory_mb = static_cast<std::int64_t>(pick(1, 8)) * 500;
        step.long_running = pick(1, 20) == 1 && m_traffic.has_long_running;
        step.gang = !step.long_running && pick(1, m_traffic.jobs_per_gang) == 1;
        step.checkpointing = pick(1, 4) == 1;
        const auto length =
            milliseconds{pick(30, static_cast<std::uint64_t>(to_milliseconds(m_traffic.max_length)))};
        step.estimate_ms = to_milliseconds(length);
        const auto id = m_world.submit({step}, length);
        if (step.long_running) {
            m_long_running[id] = static_cast<int>(step.count);
        }
        m_ids.push_back(id);
    }

    void cancel_one() {
        if (pick(1, 10) == 1) {
            m_world.cancel(m_ids[pick(0, m_ids.size() - 1)]);
        }
    }

    [[nodiscard]] job_phase get_phase(job_id id) const { return m_world.get_job_state().find_job(id)->phase; }

    crash_world m_world;
    std::mt19937_64 m_random;
    traffic_settings m_traffic;
    std::vector<job_id> m_ids;
    std::map<job_id, int> m_long_running; ///< long-running jobs with their task counts
};

void run_seed(const crash_world_settings& settings, std::uint64_t seed,
              const traffic_settings& traffic_options = {}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    overlap_traffic traffic(settings, seed, traffic_options);
    traffic.run(traffic_time);
    traffic.stop_faults();
    traffic.check_invariants();
}

void run_all_seeds(const crash_world_settings& settings, const traffic_settings& traffic_options = {}) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        run_seed(settings, seed, traffic_options);
    }
}

crash_world_settings make_settings() {
    crash_world_settings settings;
    settings.commit_time = milliseconds{30};
    settings.delayed_answers = 0.2;
    settings.failures = 0.5;
    settings.gangs_wait_for_members = true;
    return settings;
}

crash_world_settings make_relayed() {
    auto settings = make_settings();
    settings.data_centres = 3;
    return settings;
}

TEST(overlap_property, does_not_treat_a_list_as_newer_than_answers_that_overtook_it) {
    run_all_seeds(make_settings());
}

TEST(overlap_property, holds_where_connections_break_or_orders_are_executed_late) {
    auto settings = make_settings();
    settings.broken_connections = 0.03;
    settings.expired_orders = 0.03;
    settings.lost_answers = 0.02;
    settings.worker_crashes = 0.3;
    run_all_seeds(settings);
}

TEST(overlap_property, holds_where_relays_stall_and_are_lost) {
    auto settings = make_relayed();
    settings.relay_stalls = 0.3;
    settings.relay_losses = 0.15;
    settings.broken_connections = 0.01;
    settings.leader_losses = 0.1;
    run_all_seeds(settings);
}

TEST(overlap_property, holds_where_all_control_instances_lose_their_power) {
    auto settings = make_relayed();
    settings.power_losses = 0.15;
    settings.restarts_after_power_loss = 0.2;
    settings.failures_after_power_loss = 0.3;
    settings.expired_orders = 0.02;
    settings.broken_connections = 0.02;
    run_all_seeds(settings);
}

TEST(overlap_property, holds_where_workers_keep_their_ids_when_the_power_is_lost) {
    auto settings = make_relayed();
    settings.keeps_ids = true;
    settings.restart_time = milliseconds{100};
    settings.restart_spread = seconds{1};
    settings.power_losses = 0.15;
    settings.restarts_after_power_loss = 0.3;
    settings.failures_after_power_loss = 0.3;
    run_all_seeds(settings);
}

TEST(overlap_property, holds_where_workers_leave_and_refuse) {
    auto settings = make_relayed();
    settings.departures = 0.3;
    settings.unhealthy_periods = 0.3;
    settings.worker_partitions = 0.2;
    settings.one_way_partitions = 0.2;
    settings.expired_orders = 0.02;
    settings.leader_losses = 0.05;
    run_all_seeds(settings);
}

TEST(overlap_property, holds_where_a_list_has_its_ends_in_any_order) {
    auto settings = make_settings();
    settings.shuffles_ends = true;
    settings.leader_losses = 0.1;
    run_all_seeds(settings);
}

TEST(overlap_property, holds_under_all_of_these_faults) {
    auto settings = make_relayed();
    settings.broken_connections = 0.02;
    settings.expired_orders = 0.02;
    settings.late_orders = 0.05;
    settings.late_heartbeats = 0.05;
    settings.lost_answers = 0.01;
    settings.worker_crashes = 0.2;
    settings.worker_partitions = 0.2;
    settings.max_partition = seconds{15};
    settings.one_way_partitions = 0.1;
    settings.departures = 0.1;
    settings.unhealthy_periods = 0.1;
    settings.relay_stalls = 0.1;
    settings.relay_losses = 0.05;
    settings.leader_losses = 0.05;
    settings.power_losses = 0.05;
    settings.restarts_after_power_loss = 0.1;
    settings.failures_after_power_loss = 0.1;
    settings.clock_drift = 0.02;
    settings.shuffles_ends = true;
    run_all_seeds(settings);
}

/// Returns random settings. Each rate is set for about a third of all seeds, either low or high.
crash_world_settings draw_settings(std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919);
    const auto draw = [&random](double strong) {
        const std::array<double, 6> shares = {0, 0, 0, 0, 0.3, 1};
        return strong * shares[random() % shares.size()];
    };
    crash_world_settings settings;
    settings.gangs_wait_for_members = true;
    settings.data_centres = static_cast<int>(random() % 4);
    settings.commit_time = milliseconds{10 + random() % 100};
    settings.stop_time = milliseconds{50 + random() % 850};
    settings.max_answer_delay = milliseconds{50 + random() % 800};
    settings.shuffles_ends = random() % 3 == 0;
    settings.partitions_refuse_calls = random() % 3 == 0;
    settings.delays_heartbeats = random() % 3 == 0;
    settings.clock_drift = random() % 2 == 0 ? 0.02 : 0;
    settings.max_partition = seconds{2 + random() % 20};
    settings.delayed_answers = draw(0.5);
    settings.broken_connections = draw(0.1);
    settings.lost_answers = draw(0.1);
    settings.late_heartbeats = draw(0.2);
    settings.failures = draw(3);
    settings.worker_crashes = draw(1);
    settings.worker_partitions = draw(1);
    settings.one_way_partitions = draw(0.5);
    settings.unhealthy_periods = draw(1);
    settings.leader_losses = draw(0.3);
    settings.power_losses = draw(0.2);
    settings.restarts_after_power_loss = draw(0.5);
    settings.failures_after_power_loss = draw(0.5);
    settings.keeps_ids = random() % 4 == 0;
    settings.restart_time = milliseconds{settings.keeps_ids ? 20 + random() % 1000 : 3000};
    settings.restart_spread = seconds{1};
    if (settings.data_centres > 0) {
        settings.relay_stalls = draw(0.5);
        settings.relay_losses = draw(0.3);
    }
    if (!settings.keeps_ids) { // a new incarnation refuses orders for the former one
        settings.expired_orders = draw(0.1);
        settings.late_orders = draw(0.2);
        settings.departures = draw(0.5);
    }
    return settings;
}

TEST(overlap_property, holds_under_random_faults) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        traffic_settings traffic_options;
        traffic_options.jobs_per_gang = 6;
        if (seed % 3 == 0) {
            traffic_options.max_length = longer_than_lease;
            traffic_options.recovery = long_recovery_time; // such jobs request more than the total capacity
            traffic_options.has_long_running = false;
        }
        overlap_traffic traffic(draw_settings(seed), seed, traffic_options);
        traffic.run(traffic_time);
        traffic.stop_faults();
        traffic.check_invariants();
    }
}

crash_world_settings make_restarts_beside_stalls() {
    auto settings = make_relayed();
    settings.keeps_ids = true;
    settings.restart_time = milliseconds{20};
    settings.restart_spread = seconds{1};
    settings.worker_crashes = 3;
    settings.relay_stalls = 0.5;
    return settings;
}

TEST(overlap_property, holds_where_workers_restart_while_a_relay_stands_still) {
    run_all_seeds(make_restarts_beside_stalls());
}

TEST(overlap_property, lets_no_start_that_a_relay_held_up_reach_a_restarted_worker) {
    for (const std::uint64_t seed : {1973U, 4392U, 4613U}) {
        run_seed(make_restarts_beside_stalls(), seed);
    }
}

TEST(overlap_property, outlives_the_lease_that_a_former_life_of_the_worker_was_granted) {
    auto settings = make_settings();
    settings.failures = 0;
    settings.workers = 40;
    settings.keeps_ids = true;
    settings.restart_time = milliseconds{20};
    settings.restart_spread = seconds{1};
    settings.worker_crashes = 2;
    settings.one_way_partitions = 2;
    settings.late_heartbeats = 0.2;
    settings.leader_losses = 0.1;
    run_all_seeds(settings, {longer_than_lease, 12, true, long_recovery_time});
}

TEST(overlap_property, outlives_the_lease_of_a_worker_whose_clock_is_slow) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        auto settings = make_settings();
        settings.failures = 0;
        settings.clock_drift = 0.02;
        settings.workers = 60;
        settings.worker_partitions = 2;
        settings.max_partition = seconds{20};
        settings.partitions_refuse_calls = true;
        overlap_traffic traffic(settings, seed, {longer_than_lease});
        traffic.idle(idle_time);
        traffic.run(traffic_time_after_idle);
        traffic.stop_faults();
        traffic.check_invariants();
    }
}

TEST(overlap_property, lets_no_lease_lapse_in_a_shorter_partition) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        auto settings = make_settings();
        settings.clock_drift = 0.02;
        settings.late_heartbeats = 0.3;
        overlap_traffic traffic(settings, seed);
        for (duration passed{0}; passed < traffic_time; passed += partition_interval) {
            traffic.run(partition_interval);
            traffic.partition(short_partition);
        }
        traffic.stop_faults();
        traffic.check_invariants();
        EXPECT_EQ(traffic.get_world().get_lapsed_runs(), 0);
        EXPECT_EQ(traffic.get_world().get_late_leases(), 0);
    }
}

TEST(overlap_property, never_moves_a_clock_back_to_that_of_a_late_heartbeat) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        auto settings = make_settings();
        settings.clock_drift = 0.02;
        settings.delays_heartbeats = true;
        overlap_traffic traffic(settings, seed, {seconds{1}, 12, false});
        for (duration passed{0}; passed < traffic_time; passed += long_partition) {
            traffic.partition(long_partition);
            traffic.idle(long_partition);
            traffic.run(seconds{2});
            traffic.idle(long_partition);
        }
        traffic.stop_faults();
        traffic.check_invariants();
        EXPECT_EQ(traffic.get_world().get_lapsed_runs(), 0);
        EXPECT_EQ(traffic.get_world().get_late_leases(), 0);
    }
}

TEST(overlap_property, does_not_treat_a_list_as_newer_than_a_stop_that_overtook_it) {
    auto settings = make_settings();
    settings.delayed_answers = 0.5;
    settings.max_answer_delay = milliseconds{800};
    settings.stop_time = milliseconds{900};
    settings.unhealthy_periods = 2;
    settings.departures = 0.3;
    run_all_seeds(settings, {max_task_time, 3});
}

} // namespace
} // namespace poplarpitch
