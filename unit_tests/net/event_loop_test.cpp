// A thread that has more to do than it can: what has to be done each turn is done all the same.
#include "poplarpitch/net/event_loop.h"

#include "poplarpitch/core/system_clock.h"

#include <gtest/gtest.h>

#include <functional>
#include <thread>

namespace poplarpitch {
namespace {

/// Keeps the thread busy without a wait, as a call that computes would.
void work_for(duration length) {
    const system_clock clock;
    const auto end = clock.now() + length;
    while (clock.now() < end) {
    }
}

TEST(event_loop, ends_turns_and_calls_timers_although_there_is_always_something_ready) {
    event_loop loop;
    int turns = 0;
    int calls = 0;
    bool has_timer_fired = false;
    loop.on_turn_end([&] { ++turns; });
    const std::function<void()> again = [&] { // a load that never ends: each call brings the next one
        ++calls;
        work_for(std::chrono::microseconds{200});
        if (calls < 5000) {
            loop.post(again);
        } else {
            loop.stop();
        }
    };
    loop.post(again);
    loop.post(again);
    loop.call_after(milliseconds{50}, [&] {
        has_timer_fired = true;
        loop.stop();
    });
    loop.run();
    EXPECT_TRUE(has_timer_fired);
    EXPECT_GT(turns, 3);
    EXPECT_GT(loop.get_cut_turns(), 0U);
}

TEST(event_loop, tells_how_busy_it_is) {
    event_loop loop;
    int calls = 0;
    double busy = 0;
    const std::function<void()> again = [&] {
        work_for(milliseconds{5});
        if (++calls < 400) {
            loop.post(again);
            return;
        }
        busy = loop.get_busy_share();
        loop.call_after(seconds{2}, [&] { loop.stop(); }); // four times as long as the share is smoothed over
    };
    loop.post(again);
    loop.post(again);
    loop.post(again);
    loop.run();
    EXPECT_GT(busy, 0.5);
    EXPECT_LT(loop.get_busy_share(), 0.2);
}

TEST(event_loop, tells_no_time_from_before_a_stand_still_to_what_comes_after_it) {
    event_loop loop;
    const system_clock clock;
    time_point woke{};
    loop.post([] {}); // ends the turn's wait
    loop.post([&] {
        std::this_thread::sleep_for(milliseconds{50});
        woke = clock.now();
    });
    loop.post([&] {
        EXPECT_GE(loop.now(), woke);
        loop.stop();
    });
    loop.run();
}

TEST(event_loop, tells_no_time_from_before_a_wait_to_what_ended_it) {
    event_loop loop;
    const system_clock clock;
    time_point posted{};
    std::thread poster;
    loop.post([&] {
        poster = std::thread([&] {
            std::this_thread::sleep_for(milliseconds{50}); // the loop waits meanwhile
            posted = clock.now();
            loop.post([&] {
                EXPECT_GE(loop.now(), posted);
                loop.stop();
            });
        });
    });
    loop.run();
    poster.join();
}

} // namespace
} // namespace poplarpitch
