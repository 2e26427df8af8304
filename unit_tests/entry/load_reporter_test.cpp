#include "poplarpitch/entry/load_reporter.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

wire::worker_load make_load(double slowdown = 1, bool is_ready = true) {
    wire::worker_load load;
    load.set_worker("w");
    load.set_slowdown(slowdown);
    load.set_ready(is_ready);
    (*load.mutable_rates())["s"] = 10;
    return load;
}

TEST(load_reporter, sends_changed_loads_and_all_loads_periodically) {
    load_reporter reporter;
    const time_point start{seconds{100}};
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(), start));
    EXPECT_FALSE(reporter.mark_sent_if_due(make_load(1.05), start + seconds{1}));
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(1.2), start + seconds{2}));
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(1.2, false), start + seconds{3}));
    EXPECT_FALSE(reporter.mark_sent_if_due(make_load(1.2, false), start + seconds{4}));
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(1.2, false), start + seconds{8}));
}

TEST(load_reporter, follows_request_rates) {
    load_reporter reporter;
    const time_point now{seconds{100}};
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(), now));
    auto load = make_load();
    (*load.mutable_rates())["s"] = 12;
    EXPECT_FALSE(reporter.mark_sent_if_due(load, now));
    (*load.mutable_rates())["s"] = 20;
    EXPECT_TRUE(reporter.mark_sent_if_due(load, now));
}

TEST(load_reporter, sends_all_loads_to_a_new_leader_and_repeats_lost_ones) {
    load_reporter reporter;
    const time_point now{seconds{100}};
    reporter.set_term(1);
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(), now));
    reporter.set_term(1);
    EXPECT_FALSE(reporter.mark_sent_if_due(make_load(), now));
    reporter.set_term(2);
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(), now));
    reporter.forget("w");
    EXPECT_TRUE(reporter.mark_sent_if_due(make_load(), now));
}

} // namespace
} // namespace poplarpitch
