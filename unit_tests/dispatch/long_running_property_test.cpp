// Checks that no long-running task stands still for longer than allowed when disruptions of any kind begin at
// random moments, in series and overlapping, each series followed by calm. RapidCheck draws the disruptions;
// RC_PARAMS sets the seed and the number of cases, and a failure names its seed.
#include "unit_tests/dispatch/long_running_world.h"
#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration placing_time = seconds{10}; // from the submission of long-running jobs to disruptions
constexpr duration calm_time = seconds{14};    // longer than the 9 s after which a task must run again
constexpr std::int64_t max_delay_ms = 4000;    // between the starts of two disruptions of a series
constexpr std::int64_t max_length_ms = 8000;   // of a disruption
constexpr int max_percent = 25;                // of the workers, in one disruption
constexpr std::size_t max_series = 2;          // each followed by calm
constexpr std::size_t max_disruptions = 3;     // in one series
constexpr double long_running_share = 0.3;     // of all processor time, at most
constexpr std::array<double, 3> fills = {0.5, 0.8, 0.95};

using disruption_series = std::vector<simulated_disruption>;

struct drawn_world {
    std::uint32_t seed = 0;
    double fill = 0;
    bool reports_start_times = false;
    bool has_replacements = false;
    bool enforces_capacity = true;

    friend std::ostream& operator<<(std::ostream& out, const drawn_world& item) {
        return out << "seed " << item.seed << ", fill " << item.fill << ", start times "
                   << item.reports_start_times << ", replacements " << item.has_replacements
                   << ", enforces capacity " << item.enforces_capacity;
    }
};

rc::Gen<simulated_disruption> draw_disruption(const std::vector<disruption_kind>& kinds) {
    return rc::gen::apply(
        [](disruption_kind kind, std::int64_t delay_ms, std::int64_t length_ms, int percent) {
            return simulated_disruption{kind, milliseconds{delay_ms}, milliseconds{length_ms}, percent};
        },
        rc::gen::elementOf(kinds), rc::gen::resize(100, rc::gen::inRange<std::int64_t>(0, max_delay_ms)),
        rc::gen::resize(100, rc::gen::inRange<std::int64_t>(100, max_length_ms)),
        rc::gen::resize(100, rc::gen::inRange(5, max_percent + 1)));
}

rc::Gen<std::vector<disruption_series>> draw_all_series(const std::vector<disruption_kind>& kinds) {
    const auto draw_series =
        rc::gen::mapcat(rc::gen::resize(100, rc::gen::inRange<std::size_t>(1, max_disruptions + 1)),
                        [kinds](std::size_t count) {
                            return rc::gen::container<disruption_series>(count, draw_disruption(kinds));
                        });
    return rc::gen::mapcat(rc::gen::resize(100, rc::gen::inRange<std::size_t>(1, max_series + 1)),
                           [draw_series](std::size_t count) {
                               return rc::gen::container<std::vector<disruption_series>>(count, draw_series);
                           });
}

rc::Gen<drawn_world> draw_world() {
    return rc::gen::apply(
        [](std::uint32_t seed, std::size_t fill, bool reports_start_times, bool has_replacements,
           bool enforces_capacity) {
            return drawn_world{seed, fills.at(fill), reports_start_times, has_replacements,
                               enforces_capacity};
        },
        rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(1, 100'000)),
        rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, fills.size())), rc::gen::arbitrary<bool>(),
        rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>());
}

long_running_world_settings make_settings(const drawn_world& drawn) {
    long_running_world_settings settings;
    settings.fill = drawn.fill;
    settings.reports_start_times = drawn.reports_start_times;
    settings.enforces_capacity = drawn.enforces_capacity;
    settings.replacement_time = drawn.has_replacements ? duration{seconds{4}} : duration{0};
    return settings;
}

step_spec draw_long_running_step(std::mt19937_64& random) {
    const std::array<std::int64_t, 5> millicores = {1000, 2000, 4000, 6000, 8000};
    auto step = make_step(static_cast<std::uint32_t>(1 + random() % 6));
    step.long_running = true;
    step.millicores = millicores.at(random() % millicores.size());
    step.memory_mb = 500 * static_cast<std::int64_t>(1 + random() % 16);
    step.max_per_worker = static_cast<std::uint32_t>(random() % 3);
    if (random() % 4 == 0) {
        step.required_label = "fast";
    }
    if (random() % 6 == 0) {
        step.accelerators = 1;
    }
    if (random() % 3 == 0) {
        step.image = "image";
        step.target_ms = 200;
    }
    return step;
}

/// Submits long-running jobs of random sizes until they use the share of the processor time that they may.
void submit_long_running_jobs(long_running_world& world, const long_running_world_settings& settings,
                              std::uint32_t seed) {
    std::mt19937_64 random(seed);
    auto left = static_cast<std::int64_t>(long_running_share * settings.workers *
                                          static_cast<double>(settings.capacity.millicores));
    while (left > 0) {
        const auto step = draw_long_running_step(random);
        left -= step.millicores * step.count;
        world.submit(step);
    }
}

void play(const drawn_world& drawn, const std::vector<disruption_series>& all_series) {
    const auto settings = make_settings(drawn);
    long_running_world world(settings, drawn.seed);
    submit_long_running_jobs(world, settings, drawn.seed);
    world.run(placing_time);
    std::mt19937_64 random(drawn.seed + 1);
    for (const auto& series : all_series) {
        duration longest{0};
        for (const auto& item : series) {
            world.run(item.delay);
            world.disrupt(item);
            if (random() % 3 == 0) {
                world.submit(draw_long_running_step(random));
            }
            longest = std::max(longest, item.length);
        }
        world.run(longest + calm_time);
    }
    for (const auto& stalled : world.get_watch().get_stalled()) {
        RC_LOG() << describe(stalled) << '\n';
    }
    for (const auto& violation : world.get_violations()) {
        RC_LOG() << violation << '\n';
    }
    RC_ASSERT(world.get_violations().empty());
    RC_ASSERT(world.get_watch().get_stalled().empty());
}

void check(const std::vector<disruption_kind>& kinds) {
    const auto drawn = *draw_world();
    const auto all_series = *draw_all_series(kinds);
    play(drawn, all_series);
}

RC_GTEST_PROP(long_running_property, starts_all_tasks_in_time_without_disruptions, ()) {
    play(*draw_world(), {});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_are_lost_without_a_reset, ()) {
    check({disruption_kind::loss});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_are_lost_with_a_reset, ()) {
    check({disruption_kind::loss_with_reset});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_start_again, ()) {
    check({disruption_kind::restart});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_fail_all_runs, ()) {
    check({disruption_kind::failures});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_are_slow_or_refuse, ()) {
    check({disruption_kind::slow_answers, disruption_kind::refused_starts, disruption_kind::unhealthy});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_orders_are_not_sent, ()) {
    check({disruption_kind::unsent_orders});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_are_cut_off_and_return, ()) {
    check({disruption_kind::cut});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_answers_are_lost_or_orders_are_late, ()) {
    check({disruption_kind::one_way_cut, disruption_kind::late_orders});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_leave, ()) {
    check({disruption_kind::drain});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_leaders_change, ()) {
    check({disruption_kind::leader_change});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_where_workers_and_the_leader_are_lost, ()) {
    check({disruption_kind::leader_change, disruption_kind::loss, disruption_kind::loss_with_reset,
           disruption_kind::restart});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_after_disruptions_that_leave_all_workers, ()) {
    check({disruption_kind::failures, disruption_kind::slow_answers, disruption_kind::refused_starts,
           disruption_kind::unhealthy, disruption_kind::unsent_orders, disruption_kind::cut,
           disruption_kind::one_way_cut, disruption_kind::late_orders, disruption_kind::leader_change});
}

RC_GTEST_PROP(long_running_property, runs_again_in_time_after_disruptions_of_all_kinds, ()) {
    check({disruption_kind::loss, disruption_kind::loss_with_reset, disruption_kind::restart,
           disruption_kind::failures, disruption_kind::slow_answers, disruption_kind::refused_starts,
           disruption_kind::unhealthy, disruption_kind::unsent_orders, disruption_kind::cut,
           disruption_kind::one_way_cut, disruption_kind::late_orders, disruption_kind::drain,
           disruption_kind::leader_change});
}

} // namespace
} // namespace poplarpitch
