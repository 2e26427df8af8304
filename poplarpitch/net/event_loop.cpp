#include "poplarpitch/net/event_loop.h"

#include "poplarpitch/core/system_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>

namespace poplarpitch {
namespace {

constexpr duration longest_turn = milliseconds{5}; // a twentieth of the log's heartbeats, a commit's sync
constexpr int unmeasured_calls = 8;                // between two looks at the clock
constexpr double measure_time = 0.5;               // s, over which load and lag are smoothed

} // namespace

struct event_loop::parts {
    boost::asio::io_context context{1}; ///< one thread runs it; others may post, so Asio keeps its lock
    boost::asio::steady_timer timer{context};
    struct handled_signal {
        std::unique_ptr<boost::asio::signal_set> set;
        std::function<void()> work;
    };
    std::vector<handled_signal> signals;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
};

event_loop::event_loop()
    : m_parts(std::make_unique<parts>()), m_now(system_clock().now()), m_last_wake(m_now) {
    std::signal(SIGPIPE, SIG_IGN); // a write to a closed connection is an error code here
}

event_loop::~event_loop() = default;

boost::asio::io_context& event_loop::get_context() {
    return m_parts->context;
}

void event_loop::run() {
    const system_clock clock;
    auto& context = m_parts->context;
    while (!context.stopped()) {
        read_clock();
        for (const auto& hook : m_turn_hooks) {
            hook();
        }
        arm();
        const auto began = clock.now();
        m_may_be_old = true; // Asio calls what ends the wait before it returns
        context.run_one();
        read_clock();
        note_turn(began, m_now);
        run_ready();
        read_clock();
        run_due_timers();
    }
}

time_point event_loop::now() const {
    if (m_may_be_old) {
        read_clock();
    }
    return m_now;
}

void event_loop::read_clock() const {
    m_now = system_clock().now();
    m_may_be_old = false;
}

bool event_loop::poll_one() {
    m_may_be_old = true; // the process may have stood still since the call before
    return m_parts->context.poll_one() > 0;
}

void event_loop::run_ready() {
    const system_clock clock;
    const auto end = m_now + longest_turn;
    int calls = 0;
    while (poll_one()) {
        if (++calls % unmeasured_calls == 0 && clock.now() >= end) {
            ++m_cut_turns;
            return;
        }
    }
}

/// The wait of a turn is the time until its first call was made, and the call itself, which is short.
void event_loop::note_turn(time_point began, time_point woke) {
    const auto worked = to_seconds(began - m_last_wake);
    const auto waited = to_seconds(woke - began);
    m_last_wake = woke;
    const auto all = worked + waited;
    if (all <= 0) {
        return;
    }
    const auto weight = 1 - std::exp(-all / measure_time);
    m_busy_share += weight * (worked / all - m_busy_share);
    const auto late = m_timers.empty() ? duration{0} : std::max(woke - m_timers.begin()->first, duration{0});
    m_lag += std::chrono::duration_cast<duration>(weight * (late - m_lag));
}

void event_loop::stop() {
    m_parts->context.stop();
}

void event_loop::post(std::function<void()> work) {
    boost::asio::post(m_parts->context, std::move(work));
}

timer_id event_loop::call_at(time_point when, std::function<void()> work) {
    const auto id = m_next_timer++;
    m_timers.emplace(when, timer{id, std::move(work)});
    m_timer_times.emplace(id, when);
    return id;
}

timer_id event_loop::call_after(duration delay, std::function<void()> work) {
    return call_at(now() + delay, std::move(work));
}

void event_loop::cancel(timer_id id) {
    const auto found = m_timer_times.find(id);
    if (found == m_timer_times.end()) {
        return;
    }
    const auto [first, last] = m_timers.equal_range(found->second);
    const auto item =
        std::find_if(first, last, [id](const auto& candidate) { return candidate.second.id == id; });
    if (item != last) {
        m_timers.erase(item);
    }
    m_timer_times.erase(found);
}

void event_loop::on_turn_end(std::function<void()> work) {
    m_turn_hooks.push_back(std::move(work));
}

void event_loop::on_signal(int signal, std::function<void()> work) {
    m_parts->signals.push_back(
        {std::make_unique<boost::asio::signal_set>(m_parts->context, signal), std::move(work)});
    wait_for_signal(m_parts->signals.size() - 1);
}

void event_loop::wait_for_signal(std::size_t index) {
    m_parts->signals[index].set->async_wait([this, index](const boost::system::error_code& error, int) {
        if (!error) {
            m_parts->signals[index].work();
            wait_for_signal(index);
        }
    });
}

void event_loop::run_due_timers() {
    const auto due_by = m_now; // what falls due meanwhile waits for the hooks
    while (!m_timers.empty() && m_timers.begin()->first <= due_by) {
        auto due = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        m_timer_times.erase(due.id);
        m_may_be_old = true;
        due.work();
    }
}

void event_loop::arm() {
    if (m_timers.empty()) {
        return;
    }
    const auto next = m_timers.begin()->first;
    const bool is_set = m_armed != time_point{} && m_armed > m_now;
    if (is_set && m_armed <= next) {
        return; // it fires early enough; a turn without work is cheaper than a system call for each change
    }
    m_armed = std::max(next, m_now);
    m_parts->timer.expires_after(
        std::chrono::duration_cast<boost::asio::steady_timer::duration>(m_armed - m_now));
    m_parts->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            m_armed = time_point{};
        }
    });
}

} // namespace poplarpitch
