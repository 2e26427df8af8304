#include "poplarpitch/policy/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace poplarpitch {
namespace {

time_point at(int ms) {
    return time_point{milliseconds{ms}};
}

TEST(admission_queue, serves_the_earliest_deadline_first) {
    admission_queue queue;
    queue.push({1, "a", at(30)});
    queue.push({2, "a", at(10)});
    queue.push({3, "b", at(20)});
    EXPECT_EQ(queue.peek()->id, 2U);
    EXPECT_EQ(queue.count_before(at(20)), 2U);
    ASSERT_TRUE(queue.remove({2, "a", at(10)}));
    EXPECT_EQ(queue.peek()->id, 3U);
    EXPECT_FALSE(queue.remove({2, "a", at(10)}));
}

TEST(admission_queue, keeps_a_burst_from_starving_another_tenant) {
    admission_queue queue;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        queue.push({id, "burst", at(static_cast<int>(id))});
    }
    for (int running = 0; running < 8; ++running) {
        queue.on_started("burst");
    }
    queue.push({100, "calm", at(1000)});
    EXPECT_EQ(queue.peek()->id, 100U);
}

TEST(admission_queue, follows_the_weights) {
    admission_queue queue;
    queue.set_weight("heavy", 3);
    std::uint64_t id = 0;
    for (int index = 0; index < 100; ++index) {
        queue.push({++id, "heavy", at(5)});
        queue.push({++id, "light", at(5)});
    }
    for (int slot = 0; slot < 40; ++slot) {
        const auto next = *queue.peek();
        queue.remove(next);
        queue.on_started(next.tenant);
    }
    EXPECT_NEAR(static_cast<double>(queue.get_running("heavy")), 30, 1);
}

RC_GTEST_PROP(admission_queue, neither_loses_nor_duplicates_requests, ()) {
    admission_queue queue;
    std::set<std::uint64_t> waiting;
    std::uint64_t last = 0;
    for (int step = 0; step < *rc::gen::inRange(1, 200); ++step) {
        if (*rc::gen::inRange(0, 3) > 0) {
            queue.push({++last, std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4))),
                        at(*rc::gen::inRange(0, 50))});
            waiting.insert(last);
        } else if (const auto next = queue.peek()) {
            RC_ASSERT(waiting.erase(next->id) == 1U);
            RC_ASSERT(queue.remove(*next));
        }
        RC_ASSERT(queue.get_size() == waiting.size());
        RC_ASSERT(queue.peek().has_value() == !waiting.empty());
    }
}

} // namespace
} // namespace poplarpitch
