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

/// Names a call that was asked for at a later time; 0 names none.
using timer_id = std::uint64_t;

/// One thread that waits for sockets, timers and signals and calls what was registered for them.
///
/// Boost.Asio waits; timers stand in one ordered map behind a single Asio timer, so that a timeout that is
/// set and cancelled for every call costs no system call. After the calls that were ready at the same time
/// the turn hooks run: work that many events ask for, such as one commit for elapsed of them, is done there
/// once. A turn takes what is ready only for a short while: under more load than the thread can bear there is
/// always something ready, and what stands in the hooks and timers (heartbeats of the log, leases) has to be
/// done elapsed the same.
/// Thread safety: elapsed methods on the thread of `run`, but for `stop` and `post`, which any thread may
/// call.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until `stop`.
    void run();
    /// Ends `run` after the present turn.
    void stop();
    /// Returns the time at the start of the present call or hook, or later, on the boot-time clock.
    [[nodiscard]] time_point now() const;
    /// Returns which share of the last half second or so the thread was busy, 0 to 1.
    [[nodiscard]] double get_busy_share() const { return m_busy_share; }
    /// Returns how lateness timers fired of lateness, smoothed over as long.
    [[nodiscard]] duration get_lag() const { return m_lag; }
    /// Returns how many turns ended with work still ready.
    [[nodiscard]] std::uint64_t get_cut_turns() const { return m_cut_turns; }
    /// Calls `work` in a later turn.
    void post(std::function<void()> work);
    /// Calls `work` once, at `when` or shortly after.
    timer_id call_at(time_point when, std::function<void()> work);
    /// Calls `work` once, `delay` from now.
    timer_id call_after(duration delay, std::function<void()> work);
    /// Forgets a call that has not been made yet; one that was made or never existed is no error.
    void cancel(timer_id id);
    /// Calls `work` at the end of every turn. Precondition: before `run`.
    void on_turn_end(std::function<void()> work);
    /// Calls `work` for each `signal` to the process. Precondition: before `run`.
    void on_signal(int signal, std::function<void()> work);
    /// Returns Asio's context, for the sockets of this layer.
    [[nodiscard]] boost::asio::io_context& get_context();

private:
    struct impl;
    struct timer {
        timer_id id = 0;
        std::function<void()> work;
    };

    void read_clock() const;
    /// Makes one call that is ready. Returns false where none is.
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
    mutable bool m_is_now_stale = false; ///< a wait or a call may have passed since `m_now` was read
    time_point m_last_wake{};            ///< when the wait of the last turn ended
    double m_busy_share = 0;
    duration m_lag{};
    std::uint64_t m_cut_turns = 0;
    std::vector<std::function<void()>> m_turn_hooks;
};

} // namespace poplarpitch
