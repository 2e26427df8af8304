#include "poplarpitch/policy/worker_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace poplarpitch {
namespace {

const resources capacity{8, 64000, 1000, 2};

worker_ledger make_open_ledger() {
    worker_ledger ledger(capacity);
    ledger.set_open(true);
    return ledger;
}

resources generate_need() {
    return {*rc::gen::inRange(0, 6), *rc::gen::inRange(0, 40000), *rc::gen::inRange(0, 600),
            *rc::gen::inRange(0, 3)};
}

TEST(worker_ledger, grants_nothing_before_it_is_opened) {
    worker_ledger ledger(capacity);
    EXPECT_FALSE(ledger.try_acquire(1, {1, 0, 0, 0}));
    ledger.set_open(true);
    EXPECT_TRUE(ledger.try_acquire(1, {1, 0, 0, 0}));
}

TEST(worker_ledger, releases_nothing_twice) {
    auto ledger = make_open_ledger();
    ASSERT_TRUE(ledger.try_acquire(1, {8, 0, 0, 0}));
    EXPECT_TRUE(ledger.release(1));
    EXPECT_FALSE(ledger.release(1));
    EXPECT_EQ(ledger.get_free(), capacity);
}

TEST(worker_ledger, grants_nothing_new_while_overcommitted) {
    auto ledger = make_open_ledger();
    ASSERT_TRUE(ledger.try_acquire(1, {6, 0, 0, 0}));
    ledger.set_capacity({4, 64000, 1000, 2});
    EXPECT_FALSE(ledger.try_acquire(2, {1, 0, 0, 0}));
    ledger.set_old_epoch_usage({4, 0, 0, 0});
    ASSERT_TRUE(ledger.release(1));
    EXPECT_FALSE(ledger.try_acquire(2, {1, 0, 0, 0}));
    ledger.set_old_epoch_usage({});
    EXPECT_TRUE(ledger.try_acquire(2, {1, 0, 0, 0}));
}

RC_GTEST_PROP(worker_ledger, never_grants_more_than_the_capacity, ()) {
    auto ledger = make_open_ledger();
    std::map<grant_id, resources> model;
    resources old_usage;
    const int steps = *rc::gen::inRange(1, 300);
    for (int step = 0; step < steps; ++step) {
        const auto id = static_cast<grant_id>(*rc::gen::inRange(1, 12));
        const auto need = generate_need();
        resources sum = old_usage;
        for (const auto& [key, held] : model) {
            sum += held;
        }
        switch (*rc::gen::inRange(0, 4)) {
        case 0: {
            const bool fits = capacity.can_fit(sum + need) && !model.contains(id);
            RC_ASSERT(ledger.try_acquire(id, need) == fits);
            if (fits) {
                model[id] = need;
            }
            break;
        }
        case 1:
            RC_ASSERT(ledger.release(id) == (model.erase(id) > 0));
            break;
        case 2: {
            const bool known = model.contains(id);
            const bool fits = known && capacity.can_fit(sum - model[id] + need);
            if (!known) {
                model.erase(id);
            }
            RC_ASSERT(ledger.resize(id, need) == fits);
            if (fits) {
                model[id] = need;
            }
            break;
        }
        default:
            if (capacity.can_fit(sum - old_usage + need)) {
                old_usage = need;
                ledger.set_old_epoch_usage(old_usage);
            }
            break;
        }
        RC_ASSERT(capacity.can_fit(ledger.get_granted() + old_usage));
    }
}

} // namespace
} // namespace poplarpitch
