// Turn hooks and timers must run even when the loop is overloaded and a handler is always ready.
#include "poplarpitch/net/event_loop.h"

#include "poplarpitch/core/system_clock.h"

#include <gtest/gtest.h>

#include <functional>
#include <thread>

namespace poplarpitch {
namespace {

/// Keeps the thread busy without blocking, as a long computation would.
void work_for(duration length) {
    const system_clock clock;
    const auto end = clock.now() + length;
    while (clock.now() < end) {
    }
}

TEST(event_loop, ends_turns_and_calls_timers_although_there_is_always_something_ready) {
    event_loop loop;
    int iterations = 0;
    int calls = 0;
    bool has_timer_fired = false;
    loop.on_iteration_end([&] { ++iterations; });
    const std::function<void()> again = [&] { // endless load: each call posts the next one
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
    EXPECT_GT(iterations, 3);
    EXPECT_GT(loop.get_cut_iterations(), 0U);
}

// A suspended process took requests that had waited for seconds for new ones.
TEST(event_loop, tells_for_how_long_input_may_have_waited_to_be_read) {
    constexpr duration planned_wait = milliseconds{50};
    constexpr duration pause = milliseconds{300};
    const system_clock clock;
    event_loop loop;
    const auto begin = clock.now();
    duration at_rest{};
    duration elapsed{};
    duration after_pause{};
    loop.call_after(planned_wait, [&] {
        at_rest = loop.get_read_delay();
        elapsed = clock.now() - begin;
        work_for(pause); // reads no input meanwhile
        loop.post([&] {
            after_pause = loop.get_read_delay();
            loop.stop();
        });
    });
    loop.run();
    EXPECT_LE(at_rest,
              elapsed - planned_wait / 2); // input that comes during the planned wait is read at once
    EXPECT_GE(after_pause, pause);
}

TEST(event_loop, reports_its_busy_share) {
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
        loop.call_after(seconds{2}, [&] { loop.stop(); }); // four times the smoothing time of the share
    };
    loop.post(again);
    loop.post(again);
    loop.post(again);
    loop.run();
    EXPECT_GT(busy, 0.5);
    EXPECT_LT(loop.get_busy_share(), 0.2);
}

TEST(event_loop, now_is_not_stale_after_a_handler_that_blocked) {
    event_loop loop;
    const system_clock clock;
    time_point woke{};
    loop.post([] {}); // ends the wait of the iteration
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

TEST(event_loop, now_is_not_stale_in_the_handler_that_ended_a_wait) {
    event_loop loop;
    const system_clock clock;
    time_point posted{};
    std::thread poster;
    loop.post([&] {
        poster = std::thread([&] {
            std::this_thread::sleep_for(milliseconds{50}); // the loop is waiting during this time
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
