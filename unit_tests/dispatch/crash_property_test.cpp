// Checks invariants when tasks crash their workers, under random sequences of crashes, partitions, leader
// losses, lost answers and capacity changes. POPLARPITCH_SEEDS sets the number of seeds; each failure names
// its seed.
#include "unit_tests/dispatch/crash_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>

namespace poplarpitch {
namespace {

constexpr duration traffic_time = seconds{25};
constexpr duration completion_time = seconds{60}; // a job that has no outcome by then never gets one
constexpr duration arrival_interval = milliseconds{250};
constexpr int max_starts_after_three_crashes = 2; // a third one is a violation
constexpr int min_crashes = 2;                    // no job may fail with fewer crashes of one task

/// Submits jobs of several kinds that use about half of the workers' capacity. The first task of a few jobs
/// crashes its workers.
class crash_traffic {
public:
    crash_traffic(const crash_world_settings& settings, std::uint64_t seed)
        : m_world(settings, seed), m_random(seed + 1) {}

    void run() {
        for (duration passed{0}; passed < traffic_time; passed += arrival_interval) {
            submit_one();
            m_world.run(arrival_interval);
        }
        m_world.run(completion_time);
    }

    /// Checks the invariants that hold under any faults.
    void check_invariants() {
        EXPECT_TRUE(m_world.get_violations().empty()) << m_world.get_violations().front();
        for (const auto id : m_crashing_jobs) {
            EXPECT_LE(m_world.count_starts_after_three_crashes(get_crashing_task(id)),
                      max_starts_after_three_crashes);
            EXPECT_NE(get_phase(id), job_phase::open)
                << "job " << id << " is open: its caller was told nothing";
        }
        for (const auto& [id, record] : m_world.get_job_state().get_jobs()) {
            if (record.phase == job_phase::failed) {
                EXPECT_GE(m_world.get_max_crashes(id), min_crashes)
                    << "job " << id << " failed without cause";
            }
        }
    }

    /// Returns how many jobs failed although they crash no workers.
    [[nodiscard]] int count_failed_harmless_jobs() const {
        int failed = 0;
        for (const auto id : m_harmless_jobs) {
            failed += get_phase(id) == job_phase::failed ? 1 : 0;
        }
        return failed;
    }

    /// Returns how many jobs that crash no workers have not ended.
    [[nodiscard]] int count_open_harmless_jobs() const {
        int open = 0;
        for (const auto id : m_harmless_jobs) {
            open += get_phase(id) == job_phase::open ? 1 : 0;
        }
        return open;
    }

    [[nodiscard]] const crash_world& get_world() const { return m_world; }
    [[nodiscard]] std::size_t count_crashing_jobs() const { return m_crashing_jobs.size(); }

private:
    static task_key get_crashing_task(job_id id) { return {{id, 0, 0}, 0}; }

    std::uint64_t pick(std::uint64_t least, std::uint64_t most) {
        return least + m_random() % (most - least + 1);
    }

    void submit_one() {
        auto step = make_step(static_cast<std::uint32_t>(pick(1, 10)));
        step.millicores = static_cast<std::int64_t>(pick(1, 5)) * 1000;
        step.memory_mb = static_cast<std::int64_t>(pick(1, 8)) * 500;
        step.gang = pick(1, 12) == 1;
        step.checkpointing = pick(1, 4) == 1;
        step.speculative = !step.gang && pick(1, 6) == 1;
        const auto length = milliseconds{pick(200, 3000)};
        step.estimate_ms = to_milliseconds(length);
        const bool crashes_workers = pick(1, 12) == 1;
        const auto id = m_world.submit({step}, length);
        if (crashes_workers) {
            m_world.add_crashing_task(get_crashing_task(id));
            m_crashing_jobs.push_back(id);
        } else {
            m_harmless_jobs.push_back(id);
        }
    }

    [[nodiscard]] job_phase get_phase(job_id id) const { return m_world.get_job_state().find_job(id)->phase; }

    crash_world m_world;
    std::mt19937_64 m_random;
    std::vector<job_id> m_crashing_jobs;
    std::vector<job_id> m_harmless_jobs;
};

void run_seed(const crash_world_settings& settings, std::uint64_t seed, bool may_fail_harmless_jobs) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    crash_traffic traffic(settings, seed);
    traffic.run();
    traffic.check_invariants();
    EXPECT_EQ(traffic.count_open_harmless_jobs(), 0);
    if (!may_fail_harmless_jobs) {
        EXPECT_EQ(traffic.count_failed_harmless_jobs(), 0);
    }
}

TEST(crash_property, fails_only_jobs_that_crash_workers_when_there_are_no_other_faults) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        crash_world_settings settings;
        const std::array<int, 3> after_ms = {5, 150, 900};
        settings.crash_after = milliseconds{after_ms[seed % after_ms.size()]};
        run_seed(settings, seed, false);
    }
}

TEST(crash_property, holds_through_partitions_crashes_lost_answers_and_new_leaders) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        crash_world_settings settings;
        settings.crash_after = milliseconds{10};
        settings.worker_crashes = 0.2;
        settings.worker_partitions = 0.2;
        settings.leader_losses = 0.1;
        settings.lost_answers = 0.03;
        settings.restart_time = milliseconds{1000 + static_cast<int>(seed % 5) * 1000};
        run_seed(settings, seed, true);
    }
}

// Guards against starts beyond a capacity that shrank, at a worker that does not enforce its capacity: an
// unanswered start was repeated, and a start whose assignment was being committed was sent, without checking
// the capacity again.
TEST(crash_property, starts_nothing_beyond_the_capacity_that_a_worker_reported) {
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        crash_world_settings settings;
        settings.enforces_capacity = false;
        settings.capacity_changes = 2;
        settings.crash_after = milliseconds{10};
        settings.worker_partitions = 0.3;
        settings.leader_losses = 0.05;
        settings.lost_answers = 0.1;
        run_seed(settings, seed, true);
    }
}

} // namespace
} // namespace poplarpitch
