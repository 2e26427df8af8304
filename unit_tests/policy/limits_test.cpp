#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/policy/concurrency_limit.h"
#include "poplarpitch/policy/dependency_graph.h"
#include "poplarpitch/policy/eviction_budget.h"
#include "poplarpitch/policy/eviction_candidate.h"
#include "poplarpitch/policy/probe_timer.h"
#include "poplarpitch/policy/relief_escalation.h"
#include "poplarpitch/policy/retry_budget.h"
#include "poplarpitch/policy/worker_health.h"

#include <gtest/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

time_point at(double s) {
    return time_point{} + duration{static_cast<std::int64_t>(s * 1e9)} + seconds{100};
}

TEST(retry_budget, limits_a_retry_storm_to_a_tenth) {
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.add_attempt();
        retries += budget.try_take() ? 1 : 0; // every request fails and asks for a retry
    }
    EXPECT_LE(retries, 111);
    EXPECT_GE(retries, 100);
}

TEST(concurrency_limit, shrinks_when_latency_grows_and_recovers) {
    concurrency_limit limit;
    for (int index = 0; index < 5000; ++index) {
        limit.on_finished(milliseconds{5}, limit.get_limit());
    }
    const double normal_limit = limit.get_limit();
    for (int index = 0; index < 300; ++index) {
        limit.on_finished(milliseconds{80}, limit.get_limit());
    }
    EXPECT_LT(limit.get_limit(), normal_limit / 4);
    for (int index = 0; index < 8000; ++index) {
        limit.on_finished(milliseconds{5}, limit.get_limit());
    }
    EXPECT_GT(limit.get_limit(), normal_limit / 2);
}

TEST(concurrency_limit, learns_nothing_from_an_idle_service) {
    concurrency_limit limit;
    const double before = limit.get_limit();
    for (int index = 0; index < 1000; ++index) {
        limit.on_finished(milliseconds{5}, 1);
    }
    EXPECT_EQ(limit.get_limit(), before);
}

TEST(relief_escalation, escalates_only_under_lasting_pressure) {
    relief_escalation relief;
    // Waves shorter than `escalate_after` never escalate.
    for (int wave = 0; wave < 20; ++wave) {
        relief.update(3.0, at(wave * 2));
        relief.update(1.0, at(wave * 2 + 1));
    }
    EXPECT_EQ(relief.get_level(), relief_level::none);
    relief.update(3.0, at(100));
    EXPECT_EQ(relief.update(3.0, at(101.6)), relief_level::stop_placing);
    EXPECT_EQ(relief.update(3.0, at(103.2)), relief_level::throttle);
    EXPECT_EQ(relief.update(3.0, at(104.8)), relief_level::evict);
    EXPECT_TRUE(relief.is_eviction_due(at(104.8)));
    relief.on_evicted(at(104.8));
    EXPECT_FALSE(relief.is_eviction_due(at(106)));
    EXPECT_TRUE(relief.is_eviction_due(at(115)));
}

TEST(relief_escalation, tolerates_more_slowdown_where_throughput_weighs_more) {
    EXPECT_EQ(make_relief_settings({3, 1, 1}).enter_slowdown, relief_settings{}.enter_slowdown);
    EXPECT_GT(make_relief_settings({1, 3, 3}).enter_slowdown, 2.5);
    EXPECT_LT(make_relief_settings({1, 3, 3}).exit_slowdown, make_relief_settings({1, 3, 3}).enter_slowdown);
}

TEST(relief_escalation, stays_between_its_thresholds) {
    relief_escalation relief;
    relief.update(3.0, at(0));
    relief.update(3.0, at(2));
    relief.update(1.4, at(3));
    EXPECT_EQ(relief.update(1.4, at(60)), relief_level::stop_placing);
    relief.update(1.0, at(61));
    EXPECT_EQ(relief.update(1.0, at(67)), relief_level::none);
}

TEST(eviction_budget, bounds_evictions_over_all_workers) {
    eviction_budget budget;
    int taken = 0;
    for (int tick = 0; tick < 600; ++tick) {
        taken += budget.try_take(at(tick * 0.1)) ? 1 : 0;
    }
    EXPECT_LE(taken, 8); // in one minute: the burst of 3 and 4 per minute
    EXPECT_GE(taken, 6);
}

TEST(pick_eviction, weighs_relief_against_lost_work) {
    const std::vector<eviction_candidate> candidates = {
        {0.5, seconds{600}, 0, true}, // causes the most interference, but much work would be lost
        {0.4, seconds{1}, 0, true},
        {0.4, seconds{1}, 5, true}, // was evicted often before
        {0.9, seconds{0}, 0, false},
    };
    EXPECT_EQ(pick_eviction(candidates), 1U);
    const std::vector<eviction_candidate> harmless = {{0.001, seconds{0}, 0, true}};
    EXPECT_FALSE(pick_eviction(harmless).has_value());
}

TEST(worker_health, quarantines_a_worker_that_fails_everything) {
    worker_health health;
    for (int index = 0; index < 4; ++index) {
        health.on_failure(at(0));
        health.on_success();
    }
    EXPECT_EQ(health.get_eligibility(at(0)), worker_eligibility::trusted);
    for (int index = 0; index < 5; ++index) {
        health.on_failure(at(1));
    }
    EXPECT_EQ(health.get_eligibility(at(2)), worker_eligibility::quarantined);
    EXPECT_EQ(health.get_eligibility(at(7)), worker_eligibility::probation);
    health.on_failure(at(7));
    EXPECT_EQ(health.get_eligibility(at(13)),
              worker_eligibility::quarantined); // the second quarantine is twice as long
    EXPECT_EQ(health.get_eligibility(at(18)), worker_eligibility::probation);
    for (int index = 0; index < 3; ++index) {
        health.on_success();
    }
    EXPECT_EQ(health.get_eligibility(at(18)), worker_eligibility::trusted);
}

TEST(dependency_graph, finds_unavailable_direct_and_indirect_dependencies) {
    const auto parsed =
        parse_configuration("[service a]\ndepends = b\n[service b]\ndepends = c\n[service c]\n[service d]\n");
    const dependency_graph graph(parsed.value);
    const auto all_but = [](const std::string& down) {
        return [down](const std::string& service) {
            return service != down;
        };
    };
    EXPECT_EQ(graph.find_unavailable("a", all_but("")), "");
    EXPECT_EQ(graph.find_unavailable("a", all_but("c")), "c");
    EXPECT_EQ(graph.find_unavailable("b", all_but("c")), "c");
    EXPECT_EQ(graph.find_unavailable("a", all_but("a")), ""); // a service is not its own dependency
    EXPECT_EQ(graph.find_unavailable("d", all_but("c")), "");
}

TEST(probe_timer, probes_a_class_once_in_an_interval_that_grows_with_the_tail_weight) {
    const time_point begin{seconds{100}};
    probe_timer timer;
    timer.set_objective({1, 1, 1});
    EXPECT_FALSE(timer.is_due(3, begin)); // the first call starts its interval
    EXPECT_FALSE(timer.is_due(3, begin + seconds{59}));
    EXPECT_TRUE(timer.is_due(3, begin + seconds{60}));
    timer.on_probed(3, begin + seconds{60});
    EXPECT_FALSE(timer.is_due(3, begin + seconds{119}));
    EXPECT_FALSE(timer.is_due(2, begin + seconds{119})); // each class has its own interval
    EXPECT_TRUE(timer.is_due(3, begin + seconds{120}));
    timer.set_objective({3, 1, 1});
    EXPECT_FALSE(timer.is_due(3, begin + seconds{1679}));
    EXPECT_TRUE(timer.is_due(3, begin + seconds{1681}));
    timer.set_objective({1, 3, 3});
    EXPECT_FALSE(timer.is_due(3, begin + seconds{79}));
    EXPECT_TRUE(timer.is_due(3, begin + seconds{80}));
    timer.set_objective({1, 0, 1}); // tail only: rare, but not never
    EXPECT_TRUE(timer.is_due(3, begin + seconds{1860}));
}

} // namespace
} // namespace poplarpitch
