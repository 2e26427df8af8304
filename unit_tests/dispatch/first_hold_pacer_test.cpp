// A burst of first holds is sent at once, and the holds beyond it at a fixed rate.
#include "poplarpitch/dispatch/first_hold_pacer.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

const time_point start{seconds{1000}};

TEST(first_hold_pacer, does_not_slow_a_cluster_that_is_smaller_than_the_burst) {
    first_hold_pacer pacer;
    for (int worker = 0; worker < first_hold_pacer::burst; ++worker) {
        ASSERT_EQ(pacer.reserve(start), start) << worker;
    }
}

// Guards against a new leader that sends the first holds of 10,000 workers in one moment.
TEST(first_hold_pacer, spreads_the_holds_beyond_the_burst) {
    constexpr int workers = 10'000;
    first_hold_pacer pacer;
    time_point last = start;
    for (int worker = 0; worker < workers; ++worker) {
        const auto when = pacer.reserve(start);
        EXPECT_GE(when, last);
        last = when;
    }
    EXPECT_EQ(last, start + (workers - first_hold_pacer::burst) * first_hold_pacer::interval);
    EXPECT_GT(last, start + seconds{1});
    EXPECT_LT(last, start + seconds{2});
}

TEST(first_hold_pacer, allows_a_burst_again_after_a_pause) {
    first_hold_pacer pacer;
    for (int worker = 0; worker < 2 * first_hold_pacer::burst; ++worker) {
        pacer.reserve(start);
    }
    const auto later = start + seconds{2};
    EXPECT_EQ(pacer.reserve(later), later);
    pacer.clear();
    EXPECT_EQ(pacer.reserve(start), start);
}

} // namespace
} // namespace poplarpitch
