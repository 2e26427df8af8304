#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace poplarpitch {

/// Identifies a scheduled call. 0 identifies none.
using timer_id = std::uint64_t;

/// A single-threaded event loop that waits for sockets, timers and signals and runs their handlers.
///
/// Boost.Asio does the waiting. Timers are kept in one ordered map behind a single Asio timer, so that
/// setting and cancelling a timeout for every call costs no system call. The iteration hooks run after all
/// handlers that were ready at the same time. Work that many events request, such as one commit for all of
/// them, is done once in a hook. The time that an iteration spends on ready handlers is bounded: in overload
/// there is always a ready handler, but the hooks and timers (the log's heartbeats, leases) still have to
/// run. Thread safety: all methods on the thread of `run`, except `stop` and `post`, which any thread may
/// call.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs the loop until `stop` is called.
    void run();
    /// Makes `run` return after the current iteration.
    void stop();
    /// Returns a time on the boot-time clock that is not before the start of the current handler or hook.
    [[nodiscard]] time_point now() const;
    /// Returns the share of time that the thread was busy, from 0 to 1, smoothed over about half a second.
    [[nodiscard]] double get_busy_share() const { return m_busy_share; }
    /// Returns by how much timers fired late, smoothed over the same time.
    [[nodiscard]] duration get_lag() const { return m_lag; }
    /// Returns an upper bound of the time for which input that is read now may have waited to be read. It is
    /// large after the process was suspended.
    [[nodiscard]] duration get_read_delay() const;
    /// Returns the number of iterations that reached their time limit while handlers were still ready.
    [[nodiscard]] std::uint64_t get_cut_iterations() const { return m_cut_iterations; }
    /// Calls `work` on the loop's thread, after the current handler has returned.
    void post(std::function<void()> work);
    /// Calls `work` once, at `when` or shortly after.
    timer_id call_at(time_point when, std::function<void()> work);
    /// Calls `work` once, `delay` from now.
    timer_id call_after(duration delay, std::function<void()> work);
    /// Cancels a call that has not been made yet. Does nothing for a call that was made or an unknown id.
    void cancel(timer_id id);
    /// Calls `work` at the end of every iteration. Precondition: called before `run`.
    void on_iteration_end(std::function<void()> work);
    /// Calls `work` each time the process receives `signal`. Precondition: called before `run`.
    void on_signal(int signal, std::function<void()> work);
    /// Returns the Asio context, for the sockets of the network layer.
    [[nodiscard]] boost::asio::io_context& get_context();

private:
    struct impl;
    struct timer {
        timer_id id = 0;
        std::function<void()> work;
    };

    void read_clock() const;
    void begin_wait(time_point now);
    /// Runs one ready handler. Returns false if none is ready.
    bool poll_one();
    void run_ready();
    void run_due_timers();
    void update_load(time_point wait_began, time_point wait_ended);
    void arm_timer();
    void wait_for_signal(std::size_t index);

    std::unique_ptr<impl> m_impl;
    std::multimap<time_point, timer> m_timers;
    std::map<timer_id, time_point> m_timer_times;
    timer_id m_next_timer = 1;
    time_point m_timer_expiry{}; ///< when the Asio timer fires; zero while it is not set
    mutable time_point m_now{};
    mutable bool m_is_now_stale = false; ///< a wait or a handler may have happened since `m_now` was read
    time_point m_last_wake{};            ///< end of the last iteration's wait
    time_point m_wait_due = time_point::max(); ///< latest planned end of this iteration's wait
    duration m_worked{};       ///< time from the wait of the last iteration to that of this one
    bool m_is_waiting = false; ///< the first handler of the iteration ends the wait
    double m_busy_share = 0;
    duration m_lag{};
    std::uint64_t m_cut_iterations = 0;
    std::vector<std::function<void()>> m_iteration_hooks;
};

} // namespace poplarpitch
