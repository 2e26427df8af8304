#include "poplarpitch/policy/decaying_histogram.h"
#include "poplarpitch/policy/interference_model.h"
#include "poplarpitch/policy/latency_model.h"
#include "poplarpitch/policy/speed_model.h"
#include "poplarpitch/policy/usage_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace poplarpitch {
namespace {

RC_GTEST_PROP(decaying_histogram, quantiles_are_within_a_bin, ()) {
    decaying_histogram histogram(1, 1e6, 1e9);
    auto values = *rc::gen::container<std::vector<int>>(50, rc::gen::inRange(2, 900'000));
    for (const int value : values) {
        histogram.add(value);
    }
    std::sort(values.begin(), values.end());
    // The median lies between the 25th and the 26th of 50 values; a bin is 9% wide.
    const double found = histogram.get_quantile(0.5);
    RC_ASSERT(found >= values[24] * 0.999);
    RC_ASSERT(found <= values[25] * 1.1);
}

TEST(decaying_histogram, forgets_old_samples) {
    decaying_histogram histogram(1, 1e6, 100);
    for (int index = 0; index < 1000; ++index) {
        histogram.add(10);
    }
    for (int index = 0; index < 500; ++index) {
        histogram.add(1000);
    }
    EXPECT_GT(histogram.get_quantile(0.05), 900);
    EXPECT_LT(histogram.get_weight(), 110);
}

TEST(latency_model, follows_a_shift_of_load) {
    latency_model model;
    for (int index = 0; index < 1000; ++index) {
        model.add(milliseconds{5});
    }
    EXPECT_NEAR(to_seconds(model.get_p95()), 0.005, 0.0006);
    for (int index = 0; index < 6000; ++index) {
        model.add(milliseconds{50});
    }
    EXPECT_NEAR(to_seconds(model.get_median()), 0.05, 0.006);
}

TEST(interference_model, learns_which_pair_interferes) {
    interference_model model;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> share(0, 0.5);
    for (int index = 0; index < 20000; ++index) {
        const std::vector<co_runner> runners = {{0, share(random)}, {1, share(random)}};
        const double truth = 1 + 3.0 * runners[0].share + 0.1 * runners[1].share;
        model.add(0, runners, truth * (0.9 + 0.2 * share(random) * 2));
    }
    EXPECT_NEAR(model.get_coefficient(0, 0), 3.0, 0.4);
    EXPECT_NEAR(model.get_coefficient(0, 1), 0.1, 0.3);
    EXPECT_GE(model.get_coefficient_upper_bound(0, 0), model.get_coefficient(0, 0));
}

TEST(interference_model, starts_from_the_prior_and_is_conservative_without_samples) {
    interference_model model;
    model.set_prior(4, 0.5);
    EXPECT_EQ(model.get_coefficient(0, 4), 0.5);
    EXPECT_GT(model.get_coefficient_upper_bound(0, 4), 0.5);
    const std::vector<co_runner> none;
    EXPECT_EQ(model.predict(0, none), 1.0);
}

TEST(speed_model, tells_old_from_new_hardware) {
    speed_model model;
    std::mt19937 random(3);
    std::uniform_real_distribution<double> noise(0.8, 1.2);
    for (int index = 0; index < 4000; ++index) {
        const auto worker = static_cast<std::uint32_t>(index % 4);
        model.add(0, worker, (worker < 2 ? 10'000 : 20'000) * noise(random), 1.0);
    }
    EXPECT_NEAR(model.get_factor(3) / model.get_factor(0), 2.0, 0.25);
    model.reset(3);
    EXPECT_EQ(model.get_factor(3), 1.0);
}

TEST(usage_model, reserves_by_past_usage) {
    usage_model model;
    const resources declared{0, 4000, 4LL << 30, 1};
    EXPECT_EQ(model.get_reservation("t", "b", declared), declared);
    for (int index = 0; index < 50; ++index) {
        model.add("t", "b", 0.25, 0.5, 5.0);
    }
    const auto reserved = model.get_reservation("t", "b", declared);
    EXPECT_NEAR(static_cast<double>(reserved.millicores), 1000, 120);
    EXPECT_NEAR(static_cast<double>(reserved.memory) / (1LL << 30), 2.2, 0.25);
    EXPECT_EQ(reserved.accelerators, 1);
    EXPECT_NEAR(model.get_time_ratio("t", "b"), 5, 0.6);
    EXPECT_EQ(model.get_reservation("other", "b", declared), declared);
}

TEST(usage_model, reserves_the_declared_amount_for_a_job_that_uses_it) {
    usage_model model;
    const resources declared{0, 4000, 4LL << 30, 0};
    for (int index = 0; index < 50; ++index) {
        model.add("t", "b", 1.0, 1.0, 1.0);
    }
    const auto reserved = model.get_reservation("t", "b", declared);
    EXPECT_NEAR(static_cast<double>(reserved.millicores), 4000, 1);
    EXPECT_NEAR(static_cast<double>(reserved.memory) / (1LL << 30), 4.4, 0.001); // with its headroom
    EXPECT_NEAR(model.get_time_ratio("t", "b"), 1, 0.001);
}

} // namespace
} // namespace poplarpitch
