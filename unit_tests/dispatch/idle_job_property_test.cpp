// Checks that no job has nothing running for longer than allowed while workers have room: beside a backlog of
// filling tasks, with tasks that fail or crash their workers, and with disruptions at random moments, in
// series and overlapping. POPLARPITCH_SEEDS sets the number of seeds; each failure names its seed.
#include "unit_tests/dispatch/crash_world.h"
#include "unit_tests/dispatch/long_running_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration placing_time = seconds{4}; // from the submission of long-running jobs to the backlog
constexpr duration submit_time = seconds{3};  // for which the backlog is submitted
constexpr duration arrival_interval = milliseconds{50};
constexpr duration ending_time = seconds{14}; // from the end of the traffic until jobs are asked for
constexpr duration asking_time = seconds{4};  // longer than the 3 s for which a job may be idle
constexpr std::uint64_t max_disruptions = 4;  // in one series
constexpr std::uint64_t max_delay_ms = 4000;  // between the starts of two disruptions of a series
constexpr std::uint64_t max_length_ms = 8000; // of a disruption
constexpr std::uint64_t max_percent = 25;     // of the workers, in one disruption
constexpr int sparse_percent = 100;           // where there are few workers
constexpr std::uint64_t crashing_part = 60;   // one in this many jobs crashes its workers
constexpr int faulty_percent = 2;             // of all runs

using disruption_kinds = std::vector<disruption_kind>;

/// What a property asserts of both forms of the watch: without a break, and by looks.
enum class checked_part : std::uint8_t {
    at_the_end,          ///< both, 14 s after the traffic: the users' sentence
    on_the_way,          ///< without a break, from 4 s after the last disruption
    on_the_way_by_looks, ///< by looks, from 4 s after the last disruption
};

/// How much there is to do.
enum class load_kind : std::uint8_t {
    backlog, ///< some 150 jobs on 20 workers; more wait than run
    sparse,  ///< some 10 jobs on 2 to 5 workers, so that a worker may have no other runs for long
};

/// Submits few long-running jobs and a backlog that reserves little of the workers' capacity, mostly of
/// filling tasks, and disrupts the workers and the leader.
class idle_job_traffic {
public:
    idle_job_traffic(load_kind load, std::uint64_t seed)
        : m_random(seed + 1), m_load(load), m_settings(make_settings(load, seed)), m_world(m_settings, seed) {
    }

    void run(const disruption_kinds& kinds) {
        submit_long_running_jobs();
        m_world.run(placing_time);
        const auto interval =
            m_load == load_kind::backlog ? milliseconds{pick(10, 40)} : milliseconds{pick(200, 400)};
        for (duration passed{0}; passed < submit_time; passed += interval) {
            submit_one();
            m_world.run(interval);
        }
        if (!kinds.empty()) {
            disrupt(kinds);
        }
        m_world.stop_crashes();
        m_world.run(ending_time);
        const auto& watch = m_world.get_idle_watch();
        add_at_the_end(watch.find_idle());
        m_world.run(asking_time);
        add_at_the_end(watch.find_idle());
        for (const auto& item : watch.get_found()) {
            const bool is_by_looks = item.finding == idle_finding::looks;
            m_findings[is_by_looks ? checked_part::on_the_way_by_looks : checked_part::on_the_way].push_back(
                describe(item));
        }
    }

    /// Returns the jobs that were idle for too long.
    [[nodiscard]] const std::vector<std::string>& get_findings(checked_part part) { return m_findings[part]; }
    [[nodiscard]] const long_running_world& get_world() const { return m_world; }

private:
    std::uint64_t pick(std::uint64_t least, std::uint64_t most) {
        return least + m_random() % (most - least + 1);
    }

    static long_running_world_settings make_settings(load_kind load, std::uint64_t seed) {
        long_running_world_settings settings;
        settings.fill = 0;
        if (load == load_kind::sparse) {
            settings.workers = static_cast<int>(2 + seed % 4);
        }
        settings.reports_loads = true;
        settings.faulty_percent = faulty_percent;
        settings.reports_start_times = seed % 2 == 0;
        settings.enforces_capacity = seed % 3 != 0;
        settings.replacement_time = seed % 4 < 2 ? duration{0} : duration{seconds{4}};
        return settings;
    }

    void submit_long_running_jobs() {
        const std::array<const char*, 3> images = {"serving-a", "serving-b", "serving-c"};
        const auto jobs = m_load == load_kind::backlog ? pick(1, 4) : 1;
        for (std::uint64_t number = 0; number < jobs; ++number) {
            auto step = make_step(static_cast<std::uint32_t>(pick(2, 6)));
            step.long_running = true;
            step.millicores = static_cast<std::int64_t>(pick(2, 8)) * 1000;
            step.memory_mb = static_cast<std::int64_t>(pick(1, 8)) * 500;
            step.image = images.at(pick(0, images.size() - 1));
            step.target_ms = pick(0, 3) == 0 ? 0 : 200;
            m_world.submit(step);
        }
    }

    step_spec draw_filling_step() {
        const std::array<const char*, 3> images = {"filling-a", "filling-b", "filling-c"};
        auto step = make_step(static_cast<std::uint32_t>(pick(1, 12)));
        step.is_filling = true;
        step.millicores = static_cast<std::int64_t>(pick(1, 6)) * 1000;
        step.memory_mb = static_cast<std::int64_t>(pick(1, 8)) * 100;
        step.image = images.at(pick(0, images.size() - 1));
        step.checkpointing = pick(0, 1) == 0;
        return step;
    }

    step_spec draw_short_step() {
        auto step = make_step(static_cast<std::uint32_t>(pick(1, 4)));
        step.millicores = static_cast<std::int64_t>(pick(1, 6)) * 500;
        step.memory_mb = static_cast<std::int64_t>(pick(1, 8)) * 100;
        step.max_per_worker = static_cast<std::uint32_t>(pick(0, 2));
        step.gang = pick(1, 8) == 1;
        if (pick(1, 6) == 1) {
            step.required_label = "fast";
        }
        return step;
    }

    void submit_one() {
        const bool is_filling = pick(1, 10) <= 8;
        const auto length = milliseconds{is_filling ? pick(300, 4000) : pick(300, 1500)};
        std::vector<step_spec> steps;
        const auto count = static_cast<std::uint32_t>(pick(1, 3));
        for (std::uint32_t number = 0; number < count; ++number) {
            auto step = is_filling ? draw_filling_step() : draw_short_step();
            step.estimate_ms = to_milliseconds(length);
            if (number > 0) {
                step.depends_on = {static_cast<std::uint32_t>(pick(0, number - 1))};
            }
            steps.push_back(std::move(step));
        }
        const std::uint32_t max_attempts = pick(0, 1) == 0 ? 2 : 4;
        std::optional<task_key> crashing;
        if (pick(1, crashing_part) == 1) {
            const auto step = static_cast<std::uint32_t>(pick(0, count - 1));
            crashing = task_key{{0, 0, step}, 0};
        }
        m_world.submit_job(steps, length, max_attempts, crashing);
    }

    void disrupt(const disruption_kinds& kinds) {
        duration longest{0};
        const auto count = pick(1, max_disruptions);
        for (std::uint64_t number = 0; number < count; ++number) {
            run_traffic(milliseconds{pick(0, max_delay_ms)});
            simulated_disruption what;
            what.kind = kinds.at(pick(0, kinds.size() - 1));
            what.length = milliseconds{pick(100, max_length_ms)};
            what.percent =
                m_load == load_kind::backlog ? static_cast<int>(pick(5, max_percent)) : sparse_percent;
            if (what.kind == disruption_kind::leader_change) {
                what.length = milliseconds{pick(0, 1) == 0 ? 0 : pick(200, 3000)};
            }
            m_world.disrupt(what);
            longest = std::max(longest, what.length);
        }
        m_world.run(longest);
    }

    void run_traffic(duration length) {
        for (duration passed{0}; passed < length; passed += arrival_interval) {
            if (pick(1, 8) == 1) {
                submit_one();
            }
            m_world.run(arrival_interval);
        }
    }

    void add_at_the_end(const std::vector<idle_job>& found) {
        for (const auto& item : found) {
            m_findings[checked_part::at_the_end].push_back(describe(item));
        }
    }

    std::mt19937_64 m_random;
    load_kind m_load;
    long_running_world_settings m_settings;
    long_running_world m_world;
    std::map<checked_part, std::vector<std::string>> m_findings;
};

void check_all_seeds(const disruption_kinds& kinds, const std::vector<checked_part>& parts,
                     load_kind load = load_kind::backlog) {
    constexpr std::size_t max_shown = 5;
    for (std::uint64_t seed = 1; seed <= get_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        idle_job_traffic traffic(load, seed);
        traffic.run(kinds);
        EXPECT_TRUE(traffic.get_world().get_violations().empty())
            << traffic.get_world().get_violations().front();
        for (const auto part : parts) {
            const auto& findings = traffic.get_findings(part);
            std::string text;
            for (std::size_t number = 0; number < std::min(findings.size(), max_shown); ++number) {
                text += "\n" + findings[number];
            }
            EXPECT_EQ(findings.size(), 0U)
                << (part == checked_part::at_the_end ? "at the end" : "on the way") << text;
        }
    }
}

const disruption_kinds losses = {disruption_kind::loss, disruption_kind::loss_with_reset,
                                 disruption_kind::restart, disruption_kind::drain};
const disruption_kinds impairments = {disruption_kind::failures,       disruption_kind::slow_answers,
                                      disruption_kind::refused_starts, disruption_kind::unhealthy,
                                      disruption_kind::unsent_orders,  disruption_kind::cut,
                                      disruption_kind::one_way_cut,    disruption_kind::late_orders};
const disruption_kinds all_kinds = {
    disruption_kind::loss,          disruption_kind::loss_with_reset, disruption_kind::restart,
    disruption_kind::failures,      disruption_kind::slow_answers,    disruption_kind::refused_starts,
    disruption_kind::unhealthy,     disruption_kind::unsent_orders,   disruption_kind::cut,
    disruption_kind::one_way_cut,   disruption_kind::late_orders,     disruption_kind::drain,
    disruption_kind::leader_change, disruption_kind::leader_change};

TEST(idle_job_property, keeps_every_job_running_without_disruptions) {
    check_all_seeds({}, {checked_part::at_the_end, checked_part::on_the_way});
}

TEST(idle_job_property, keeps_every_job_running_where_workers_fail_refuse_or_are_cut_off) {
    check_all_seeds(impairments, {checked_part::at_the_end, checked_part::on_the_way});
}

TEST(idle_job_property, keeps_every_job_running_where_leaders_change) {
    check_all_seeds({disruption_kind::leader_change}, {checked_part::at_the_end, checked_part::on_the_way});
}

TEST(idle_job_property, keeps_every_job_running_at_the_end_where_workers_are_lost_or_start_again) {
    check_all_seeds(losses, {checked_part::at_the_end});
}

TEST(idle_job_property, keeps_every_job_running_at_the_end_after_disruptions_of_all_kinds) {
    check_all_seeds(all_kinds, {checked_part::at_the_end});
}

TEST(idle_job_property, keeps_every_job_running_where_few_workers_fail_all_runs) {
    check_all_seeds({disruption_kind::failures}, {checked_part::at_the_end, checked_part::on_the_way},
                    load_kind::sparse);
}

TEST(idle_job_property, keeps_every_job_running_where_few_workers_fail_or_refuse_and_leaders_change) {
    check_all_seeds({disruption_kind::failures, disruption_kind::refused_starts,
                     disruption_kind::slow_answers, disruption_kind::leader_change},
                    {checked_part::at_the_end, checked_part::on_the_way}, load_kind::sparse);
}

TEST(idle_job_property, keeps_every_job_running_on_the_way_where_workers_are_lost_or_start_again) {
    check_all_seeds(losses, {checked_part::on_the_way});
}

TEST(idle_job_property, keeps_every_job_running_on_the_way_after_disruptions_of_all_kinds) {
    check_all_seeds(all_kinds, {checked_part::on_the_way});
}

TEST(idle_job_property, shows_every_job_running_on_the_way_without_disruptions) {
    check_all_seeds({}, {checked_part::on_the_way_by_looks});
}

TEST(idle_job_property, shows_every_job_running_on_the_way_after_disruptions_of_all_kinds) {
    check_all_seeds(all_kinds, {checked_part::on_the_way_by_looks});
}

} // namespace
} // namespace poplarpitch
