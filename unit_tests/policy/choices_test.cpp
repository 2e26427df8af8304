#include "poplarpitch/policy/baseline_placers.h"
#include "poplarpitch/policy/baseline_routers.h"
#include "poplarpitch/policy/best_fit_router.h"
#include "poplarpitch/policy/cost_placer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace poplarpitch {
namespace {

static_assert(request_router<best_fit_router> && request_router<random_router> &&
              request_router<round_robin_router> && request_router<least_outstanding_router> &&
              request_router<two_choices_router>);
static_assert(task_placer<cost_placer> && task_placer<first_fit_placer> && task_placer<least_loaded_placer>);

std::vector<routing_candidate> generate_candidates() {
    std::vector<routing_candidate> candidates(static_cast<std::size_t>(*rc::gen::inRange(0, 20)));
    for (auto& candidate : candidates) {
        candidate.total_slots = 8;
        candidate.free_slots = *rc::gen::inRange(0, 3);
        candidate.outstanding = 8 - candidate.free_slots;
        candidate.factor = static_cast<float>(*rc::gen::inRange(10, 50)) / 10.0F;
    }
    return candidates;
}

template <request_router Router>
void check_router(Router router) {
    const auto candidates = generate_candidates();
    routing_random random(5);
    const auto picked = router.pick(candidates, random);
    const bool is_any_free =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const routing_candidate& candidate) { return candidate.free_slots > 0; });
    RC_ASSERT(picked.has_value() == is_any_free);
    if (picked.has_value()) {
        RC_ASSERT(candidates[*picked].free_slots > 0);
    }
}

RC_GTEST_PROP(routers, pick_a_free_worker_whenever_there_is_one, ()) {
    check_router(best_fit_router());
    check_router(random_router());
    check_router(round_robin_router());
    check_router(least_outstanding_router());
    check_router(two_choices_router());
}

TEST(best_fit_router, avoids_slow_and_disturbed_workers) {
    std::vector<routing_candidate> candidates(3, {1.0F, 8, 8, 0, true});
    candidates[0].factor = 2.0F;
    candidates[1].factor = 1.9F;
    routing_random random(1);
    best_fit_router router;
    for (int index = 0; index < 50; ++index) {
        EXPECT_EQ(router.pick(candidates, random), 2U);
    }
}

TEST(best_fit_router, spreads_over_equals) {
    const std::vector<routing_candidate> candidates(4, {1.0F, 8, 8, 0, true});
    routing_random random(1);
    best_fit_router router;
    std::vector<int> counts(4);
    for (int index = 0; index < 4000; ++index) {
        ++counts[*router.pick(candidates, random)];
    }
    for (const int count : counts) {
        EXPECT_NEAR(count, 1000, 150);
    }
}

placement_candidate make_candidate(float rate) {
    placement_candidate candidate;
    candidate.capacity = {8, 64000, 256LL << 30, 0};
    candidate.free = candidate.capacity;
    candidate.services = {{0, rate}};
    return candidate;
}

TEST(cost_placer, keeps_interfering_tasks_away_from_busy_services) {
    interference_model model;
    model.set_estimate(0, 0, 2.0, 1000);
    auto quiet = make_candidate(0.0F);
    quiet.services.clear();
    const std::vector<placement_candidate> candidates = {make_candidate(100), quiet};
    const cost_placer placer(objective_settings{});
    const placement_request request{{0, 16000, 1 << 30, 0}, 0, 60, false};
    EXPECT_EQ(placer.pick(candidates, request, model), 1U);
}

TEST(cost_placer, weighs_tail_against_throughput) {
    interference_model model;
    model.set_estimate(0, 0, 1.0, 1000);
    auto fast_busy = make_candidate(100);
    auto slow_quiet = make_candidate(0);
    slow_quiet.services.clear();
    slow_quiet.speed = 1.2F;
    const std::vector<placement_candidate> candidates = {fast_busy, slow_quiet};
    const placement_request request{{0, 8000, 1 << 30, 0}, 0, 60, false};
    EXPECT_EQ(cost_placer({3, 1, 1}).pick(candidates, request, model), 1U);
    EXPECT_EQ(cost_placer({1, 9, 1}).pick(candidates, request, model), 0U);
}

TEST(cost_placer, tries_a_class_without_samples) {
    // A class whose declared size makes its prior look harmful must be placed once, or nothing is ever
    // learned about it.
    interference_model model;
    model.set_prior(0, 5);
    const std::vector<placement_candidate> candidates = {make_candidate(100)};
    const placement_request request{{0, 64000, 1 << 30, 0}, 0, 60, false};
    EXPECT_TRUE(cost_placer({3, 1, 1}).pick(candidates, request, model).has_value());
    model.set_estimate(0, 0, 5, 100);
    EXPECT_FALSE(cost_placer({3, 1, 1}).pick(candidates, request, model).has_value());
}

TEST(cost_placer, refuses_harmful_placements_except_for_urgent_tasks) {
    interference_model model;
    model.set_estimate(0, 0, 20, 1000);
    const std::vector<placement_candidate> candidates = {make_candidate(100)};
    const cost_placer placer({3, 1, 1});
    placement_request request{{0, 16000, 1 << 30, 0}, 0, 60, false};
    EXPECT_FALSE(placer.pick(candidates, request, model).has_value());
    request.is_urgent = true;
    EXPECT_TRUE(placer.pick(candidates, request, model).has_value());
}

RC_GTEST_PROP(cost_placer, never_picks_a_worker_that_the_task_does_not_fit_on, ()) {
    interference_model model;
    std::vector<placement_candidate> candidates;
    for (int index = 0; index < *rc::gen::inRange(0, 10); ++index) {
        auto candidate = make_candidate(1);
        candidate.free = {0, *rc::gen::inRange(0, 64000), *rc::gen::inRange(0, 100), *rc::gen::inRange(0, 3)};
        candidate.is_open = *rc::gen::arbitrary<bool>();
        candidates.push_back(candidate);
    }
    const placement_request request{
        {0, *rc::gen::inRange(0, 64000), 50, *rc::gen::inRange(0, 3)}, 0, 60, true};
    const auto picked = cost_placer(objective_settings{}).pick(candidates, request, model);
    if (picked.has_value()) {
        RC_ASSERT(candidates[*picked].is_open);
        RC_ASSERT(candidates[*picked].free.can_fit(request.need));
    }
}

} // namespace
} // namespace poplarpitch
