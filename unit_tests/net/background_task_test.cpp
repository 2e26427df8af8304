// Blocking work must not block the event loop.
#include "poplarpitch/net/background_task.h"

#include "poplarpitch/net/event_loop.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace poplarpitch {
namespace {

TEST(background_task, does_not_block_the_loop_while_work_waits) {
    event_loop loop;
    background_task task(loop);
    absl::Notification was_served;
    std::vector<std::string> order;
    loop.post([&] {
        task.run(
            [&] {
                was_served.WaitForNotification(); // blocks until the loop has run another handler
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

TEST(background_task, reports_each_end_on_the_loop_before_the_next_work) {
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

TEST(background_task, destructor_waits_for_the_work_in_progress) {
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
