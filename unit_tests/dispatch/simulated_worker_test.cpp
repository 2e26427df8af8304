// A simulated worker slows and fails runs as ordered, and reports the tail latencies of its serving tasks.
#include "unit_tests/dispatch/simulated_worker.h"

#include "unit_tests/dispatch/test_steps.h"

#include <gtest/gtest.h>

#include <memory>

namespace poplarpitch {
namespace {

constexpr duration run_length = seconds{2};
constexpr std::int64_t lease_end_ms = 9000;

class simulated_worker_test : public testing::Test {
protected:
    simulated_worker_test() {
        m_job->id = 1;
        m_job->steps = {make_step(), make_step()};
        m_job->steps[0].is_filling = true;
        m_job->steps[0].millicores = 8000;
        m_job->steps[0].image = "filling-a";
        m_job->steps[1].long_running = true;
        m_job->steps[1].target_ms = 200;
        m_job->steps[1].image = "serving-a";
        m_worker.report_loads();
    }

    static worker_report make_report() {
        worker_report report;
        report.capacity = {16000, 16000, 0};
        return report;
    }

    run_key start(std::uint32_t step) {
        start_order order;
        order.run = {{{1, 0, step}, 0}, 1};
        order.job = m_job;
        order.lease_end_ms = lease_end_ms;
        m_worker.receive(order, run_length, m_now, [](const order_outcome&) {});
        return order.run;
    }

    void set_pace(const run_key& run, int percent) {
        pace_order order;
        order.run = run;
        order.percent = percent;
        m_worker.receive(order, m_now, [](const order_outcome&) {});
    }

    void advance(duration length) {
        m_now += length;
        m_worker.advance(m_now);
    }

    hold_answer get_list() {
        hold_answer list;
        m_worker.receive(hold_order{}, m_now,
                         [&list](const order_outcome& outcome) { list = outcome.answer; });
        m_worker.advance(m_now);
        return list;
    }

    time_point m_now{seconds{100}};
    std::shared_ptr<step_job> m_job = std::make_shared<step_job>();
    simulated_worker m_worker{make_report(), m_now};
};

TEST_F(simulated_worker_test, ends_a_slowed_run_later) {
    const auto run = start(0);
    advance(seconds{1});
    set_pace(run, 50);
    advance(seconds{1});
    set_pace(run, 0);
    advance(seconds{3});
    EXPECT_EQ(m_worker.get_runs().size(), 1U);
    set_pace(run, 100);
    advance(milliseconds{499});
    EXPECT_EQ(m_worker.get_runs().size(), 1U);
    advance(milliseconds{1});
    ASSERT_EQ(m_worker.get_ended().size(), 1U);
    EXPECT_EQ(m_worker.get_ended().front().end, run_end::done);
}

TEST_F(simulated_worker_test, fails_a_run_at_the_given_time) {
    m_worker.fail_run(start(0), m_now + seconds{1});
    advance(seconds{1});
    ASSERT_EQ(m_worker.get_ended().size(), 1U);
    EXPECT_EQ(m_worker.get_ended().front().end, run_end::failed);
}

TEST_F(simulated_worker_test, reports_longer_tails_beside_filling_tasks) {
    const auto serving = start(1);
    auto list = get_list();
    ASSERT_EQ(list.running.size(), 1U);
    EXPECT_EQ(list.running.front().run, serving);
    const auto tail = list.running.front().level;
    EXPECT_GT(tail, 0);
    start(0);
    list = get_list();
    ASSERT_EQ(list.running.size(), 2U);
    EXPECT_EQ(list.running.front().percent, 0);
    EXPECT_EQ(list.running.front().level, 8000);
    EXPECT_GT(list.running.back().level, tail);
}

} // namespace
} // namespace poplarpitch
