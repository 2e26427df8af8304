// How much of a pool long-running jobs may reserve.
#include "poplarpitch/dispatch/long_running_quota.h"

#include <gtest/gtest.h>

#include <set>

namespace poplarpitch {
namespace {

constexpr double share = 0.8;
const std::string pool = "pool"; // NOLINT(cert-err58-cpp)
constexpr time_point start{seconds{100}};

TEST(long_running_quota, allows_long_running_jobs_their_share_and_no_more) {
    long_running_quota quota(share);
    quota.clear(start);
    quota.observe(pool, {1000, 0}, start);
    EXPECT_TRUE(quota.has_room(pool, 800, start));
    quota.add(1, pool, 500);
    EXPECT_TRUE(quota.has_room(pool, 300, start));
    EXPECT_FALSE(quota.has_room(pool, 301, start));
    quota.add(1, pool, 500); // added twice
    EXPECT_EQ(quota.get_reserved(pool), 500);
    quota.remove(1);
    quota.remove(1);
    EXPECT_TRUE(quota.has_room(pool, 800, start));
}

TEST(long_running_quota, admits_all_jobs_while_no_worker_is_known) {
    long_running_quota quota(share);
    quota.clear(start);
    EXPECT_TRUE(quota.has_room(pool, 1'000'000, start));
}

TEST(long_running_quota, allows_a_larger_share_where_other_jobs_use_little) {
    long_running_quota quota(share);
    quota.clear(start);
    auto now = start;
    for (; now < start + seconds{31}; now += milliseconds{500}) {
        quota.observe(pool, {1000, 40}, now);
    }
    EXPECT_EQ(quota.get_allowed(pool, now), 940);
    quota.observe(pool, {1000, 400}, now); // other jobs arrive
    EXPECT_EQ(quota.get_allowed(pool, now), 800);
    quota.observe(pool, {1000, 40}, now + seconds{10}); // their peak is remembered
    EXPECT_EQ(quota.get_allowed(pool, now + seconds{10}), 800);
}

TEST(long_running_quota, computes_the_retry_time_from_the_rate_at_which_jobs_end) {
    long_running_quota quota(share);
    quota.clear(start);
    quota.observe(pool, {1000, 0}, start);
    quota.add(1, pool, 400);
    quota.add(2, pool, 400);
    const auto now = start + seconds{20};
    const auto without_rate = quota.get_retry_after(16, pool, 100, now);
    EXPECT_EQ(without_rate, seconds{30});
    quota.remove(1);
    quota.add(3, pool, 400); // 400 millicores in 20 s
    EXPECT_EQ(quota.get_retry_after(16, pool, 200, now), seconds{10});
}

TEST(long_running_quota, spreads_the_retries_of_refused_callers) {
    long_running_quota quota(share);
    quota.clear(start);
    const auto now = start + seconds{20};
    std::set<duration> times;
    for (job_id job = 0; job < 16; ++job) {
        times.insert(quota.get_retry_after(job, pool, 100, now));
    }
    EXPECT_EQ(times.size(), 16U);
    EXPECT_LT(*times.rbegin(), seconds{45});
}

TEST(long_running_quota, returns_one_second_to_retry_while_workers_are_still_registering) {
    long_running_quota quota(share);
    quota.clear(start);
    EXPECT_EQ(quota.get_retry_after(5, pool, 100, start + seconds{1}), seconds{1});
}

} // namespace
} // namespace poplarpitch
