// Copies of submissions that were on their way when another copy was refused.
#include "poplarpitch/scheduler/recent_refusals.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr time_point start{seconds{100}};

TEST(recent_refusals, finds_the_copies_that_were_read_before_the_refusal) {
    recent_refusals refusals;
    refusals.record(7, start);
    const auto now = start + seconds{1};
    EXPECT_TRUE(refusals.was_refused_since(7, start - seconds{2}, now));
    EXPECT_TRUE(refusals.was_refused_since(7, start, now));
    EXPECT_FALSE(refusals.was_refused_since(8, start - seconds{2}, now));
}

// A caller comes back under the same id when it was told to; it must not be refused again for that.
TEST(recent_refusals, lets_the_caller_return) {
    recent_refusals refusals;
    refusals.record(7, start);
    EXPECT_FALSE(refusals.was_refused_since(7, start + milliseconds{1}, start + seconds{1}));
}

TEST(recent_refusals, keeps_the_last_refusal_of_a_submission_for_its_whole_lifetime) {
    recent_refusals refusals;
    refusals.record(7, start);
    const auto second = start + recent_refusals::lifetime - seconds{1};
    refusals.record(7, second);
    const auto after_the_first = start + recent_refusals::lifetime + seconds{1};
    EXPECT_TRUE(refusals.was_refused_since(7, second - seconds{1}, after_the_first));
    const auto after_both = second + recent_refusals::lifetime + seconds{1};
    EXPECT_FALSE(refusals.was_refused_since(7, second - seconds{1}, after_both));
    EXPECT_EQ(refusals.get_size(), 0U);
}

TEST(recent_refusals, forgets_the_oldest_beyond_its_limit) {
    recent_refusals refusals;
    for (std::uint64_t key = 0; key <= recent_refusals::max_refusals; ++key) {
        refusals.record(key, start + milliseconds{static_cast<std::int64_t>(key)});
    }
    EXPECT_EQ(refusals.get_size(), recent_refusals::max_refusals);
    const auto now = start + seconds{20};
    EXPECT_FALSE(refusals.was_refused_since(0, start - seconds{1}, now));
    EXPECT_TRUE(refusals.was_refused_since(1, start - seconds{1}, now));
}

} // namespace
} // namespace poplarpitch
