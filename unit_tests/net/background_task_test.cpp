// Work that waits must not keep the loop from serving others.
#include "poplarpitch/net/background_task.h"

#include "poplarpitch/net/event_loop.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace poplarpitch {
namespace {

TEST(background_task, lets_the_loop_serve_others_while_work_waits) {
    event_loop loop;
    background_task task(loop);
    absl::Notification was_served;
    std::vector<std::string> order;
    loop.post([&] {
        task.run(
            [&] {
                was_served.WaitForNotification(); // a disk that does not answer until somebody was served
            },
            [&] {
                order.emplace_back("done");
                loop.stop();
            });
        EXPECT_TRUE(task.is_running());
    });
    loop.post([&] {
        order.emplace_back("served");
        was_served.Notify();
    });
    loop.run();
    EXPECT_EQ(order, (std::vector<std::string>{"served", "done"}));
    EXPECT_FALSE(task.is_running());
}

TEST(background_task, tells_each_end_on_the_loop_before_the_next_work) {
    event_loop loop;
    background_task task(loop);
    constexpr int rounds = 100;
    int done = 0;
    std::function<void()> next = [&] {
        task.run([] {},
                 [&] {
                     if (++done == rounds) {
                         loop.stop();
                     } else {
                         next();
                     }
                 });
    };
    loop.post([&] { next(); });
    loop.run();
    EXPECT_EQ(done, rounds);
}

TEST(background_task, waits_at_its_end_for_the_work_under_way) {
    bool is_written = false;
    {
        event_loop loop;
        background_task task(loop);
        task.run([&] { is_written = true; }, [] {});
    }
    EXPECT_TRUE(is_written);
}

} // namespace
} // namespace poplarpitch
