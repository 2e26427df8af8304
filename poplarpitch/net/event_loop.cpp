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

constexpr duration max_iteration_duration = milliseconds{5}; // 1/20 of the log's heartbeat interval, one sync
constexpr int calls_per_clock_read = 8;                      // handlers run between two reads of the clock
constexpr double smoothing_time_s = 0.5;                     // time constant for smoothing load and lag

} // namespace

struct event_loop::impl {
    boost::asio::io_context context{1}; ///< run by one thread; others may post, so Asio keeps its lock
    boost::asio::steady_timer timer{context};
    struct handled_signal {
        std::unique_ptr<boost::asio::signal_set> set;
        std::function<void()> work;
    };
    std::vector<handled_signal> signals;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard{
        context.get_executor()};
};

event_loop::event_loop() : m_impl(std::make_unique<impl>()), m_now(system_clock().now()), m_last_wake(m_now) {
    std::signal(SIGPIPE, SIG_IGN); // a write to a closed connection returns an error code instead
}

event_loop::~event_loop() = default;

boost::asio::io_context& event_loop::get_context() {
    return m_impl->context;
}

void event_loop::run() {
    const system_clock clock;
    auto& context = m_impl->context;
    while (!context.stopped()) {
        read_clock();
        for (const auto& hook : m_iteration_hooks) {
            hook();
        }
        arm_timer();
        const auto wait_began = clock.now();
        begin_wait(wait_began);
        m_is_now_stale = true; // Asio runs the handler that ends the wait before run_one returns
        context.run_one();
        read_clock();
        m_is_waiting = false;
        update_load(wait_began, m_now);
        run_ready();
        read_clock();
        run_due_timers();
    }
}

void event_loop::begin_wait(time_point now) {
    m_worked = now - m_last_wake;
    m_wait_due = m_timer_expiry == time_point{} ? time_point::max() : std::max(m_timer_expiry, now);
    m_is_waiting = true;
}

duration event_loop::get_read_delay() const {
    const auto until = now();
    const auto wait_ended = m_is_waiting ? until : m_last_wake;
    const auto overslept = std::max(wait_ended - m_wait_due, duration{0});
    return m_worked + overslept + (until - wait_ended);
}

time_point event_loop::now() const {
    if (m_is_now_stale) {
        read_clock();
    }
    return m_now;
}

void event_loop::read_clock() const {
    m_now = system_clock().now();
    m_is_now_stale = false;
}

bool event_loop::poll_one() {
    m_is_now_stale = true; // the process may have been suspended since the previous handler
    return m_impl->context.poll_one() > 0;
}

void event_loop::run_ready() {
    const system_clock clock;
    const auto end = m_now + max_iteration_duration;
    int calls = 0;
    while (poll_one()) {
        if (++calls % calls_per_clock_read == 0 && clock.now() >= end) {
            ++m_cut_iterations;
            return;
        }
    }
}

/// Updates the busy share and the lag. The wait of an iteration is measured until its first handler has run.
/// That includes the handler, which is short.
void event_loop::update_load(time_point wait_began, time_point wait_ended) {
    const auto worked = to_seconds(wait_began - m_last_wake);
    const auto waited = to_seconds(wait_ended - wait_began);
    m_last_wake = wait_ended;
    const auto elapsed = worked + waited;
    if (elapsed <= 0) {
        return;
    }
    const auto weight = 1 - std::exp(-elapsed / smoothing_time_s);
    m_busy_share += weight * (worked / elapsed - m_busy_share);
    const auto lateness =
        m_timers.empty() ? duration{0} : std::max(wait_ended - m_timers.begin()->first, duration{0});
    m_lag += std::chrono::duration_cast<duration>(weight * (lateness - m_lag));
}

void event_loop::stop() {
    m_impl->context.stop();
}

void event_loop::post(std::function<void()> work) {
    boost::asio::post(m_impl->context, std::move(work));
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

void event_loop::on_iteration_end(std::function<void()> work) {
    m_iteration_hooks.push_back(std::move(work));
}

void event_loop::on_signal(int signal, std::function<void()> work) {
    m_impl->signals.push_back(
        {std::make_unique<boost::asio::signal_set>(m_impl->context, signal), std::move(work)});
    wait_for_signal(m_impl->signals.size() - 1);
}

void event_loop::wait_for_signal(std::size_t index) {
    m_impl->signals[index].set->async_wait([this, index](const boost::system::error_code& error, int) {
        if (!error) {
            m_impl->signals[index].work();
            wait_for_signal(index);
        }
    });
}

void event_loop::run_due_timers() {
    const auto due_by = m_now; // timers that expire during this run wait until after the hooks
    while (!m_timers.empty() && m_timers.begin()->first <= due_by) {
        auto due = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        m_timer_times.erase(due.id);
        m_is_now_stale = true;
        due.work();
    }
}

void event_loop::arm_timer() {
    if (m_timers.empty()) {
        return;
    }
    const auto next = m_timers.begin()->first;
    const bool is_set = m_timer_expiry != time_point{} && m_timer_expiry > m_now;
    if (is_set && m_timer_expiry <= next) {
        return; // it fires early enough; an idle iteration is cheaper than a system call for each change
    }
    m_timer_expiry = std::max(next, m_now);
    m_impl->timer.expires_after(
        std::chrono::duration_cast<boost::asio::steady_timer::duration>(m_timer_expiry - m_now));
    m_impl->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            m_timer_expiry = time_point{};
        }
    });
}

} // namespace poplarpitch
