#include "poplarpitch/state/job_table.h"
#include "unit_tests/state/job_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarpitch {
namespace {

class job_table_test : public testing::Test {
protected:
    wire::job add(const std::string& id, bool is_idempotent = true) {
        wire::job job;
        job.set_id(id);
        job.set_tenant("t");
        job.set_idempotent(is_idempotent);
        job.set_request_hash("h");
        job.mutable_need()->set_millicores(1000);
        EXPECT_FALSE(m_table.submit(job, 100, ++m_index));
        return *m_table.find(id);
    }

    void assign(const std::string& id, const std::string& worker = "w") {
        wire::assign_job command;
        command.set_job(id);
        command.set_attempt(m_table.find(id)->attempt() + 1);
        command.set_worker(worker);
        EXPECT_FALSE(m_table.assign(command, 7, ++m_index));
    }

    std::error_code send_event(const std::string& id, wire::job_event_kind kind, std::uint64_t attempt = 0) {
        wire::job_event event;
        event.set_job(id);
        event.set_attempt(attempt != 0 ? attempt : m_table.find(id)->attempt());
        event.set_kind(kind);
        event.set_expected_index(m_table.find(id)->changed_index());
        return m_table.handle_event(event, 3, ++m_index);
    }

    void report_lost(const std::string& id, bool has_crashed) {
        wire::job_event event;
        event.set_job(id);
        event.set_attempt(m_table.find(id)->attempt());
        event.set_kind(wire::event_lost);
        event.set_crashed(has_crashed);
        EXPECT_FALSE(m_table.handle_event(event, 3, ++m_index));
    }

    job_table m_table{{}, 1000, 1 << 20};
    log_index m_index = 0;
};

TEST_F(job_table_test, runs_a_job_to_its_end) {
    add("a");
    assign("a");
    EXPECT_FALSE(send_event("a", wire::event_started));
    EXPECT_FALSE(send_event("a", wire::event_finished));
    EXPECT_EQ(m_table.find("a")->state(), wire::job_done);
    EXPECT_EQ(m_table.get_usage("t").open_jobs, 0);
    EXPECT_EQ(send_event("a", wire::event_finished), make_error_code(state_errc::stale_attempt));
}

TEST_F(job_table_test, submits_the_same_job_once) {
    const auto job = add("a");
    EXPECT_FALSE(m_table.submit(job, 100, ++m_index));
    EXPECT_EQ(m_table.get_count(), 1U);
    auto other = job;
    other.set_request_hash("other");
    EXPECT_EQ(m_table.submit(other, 100, ++m_index), make_error_code(state_errc::conflicting_job));
}

TEST_F(job_table_test, resumes_an_evicted_job_once_from_its_checkpoint) {
    add("a");
    assign("a");
    send_event("a", wire::event_started);
    wire::job_event event;
    event.set_job("a");
    event.set_attempt(1);
    event.set_kind(wire::event_evicted);
    event.set_checkpoint("42");
    EXPECT_FALSE(m_table.handle_event(event, 3, ++m_index));
    EXPECT_EQ(m_table.handle_event(event, 3, ++m_index), make_error_code(state_errc::stale_attempt));
    EXPECT_EQ(m_table.find("a")->checkpoint(), "42");
    EXPECT_EQ(m_table.find("a")->evictions(), 1U);
    EXPECT_EQ(m_table.get_queued_count(), 1U);
}

// A task that crashed its worker on each attempt was rerun forever, because lost attempts had no limit.
TEST_F(job_table_test, parks_a_job_whose_worker_ended_under_three_attempts) {
    add("a");
    for (int attempt = 1; attempt <= 3; ++attempt) {
        ASSERT_EQ(m_table.find("a")->state(), wire::job_queued) << attempt;
        assign("a");
        send_event("a", wire::event_started);
        send_event("a", wire::event_lost); // silent at first; its next process responds later
        const auto since = m_table.find("a")->changed_index();
        report_lost("a", true);
        EXPECT_EQ(m_table.find("a")->changed_index(), since) << "the wait for the lease goes on";
        send_event("a", wire::event_lease_over);
    }
    EXPECT_EQ(m_table.find("a")->state(), wire::job_parked);
    EXPECT_NE(m_table.find("a")->reason().find("ended"), std::string::npos);
}

// An attempt whose worker was only unreachable counts towards no limit.
TEST_F(job_table_test, runs_a_job_again_however_often_its_worker_was_out_of_reach) {
    add("a");
    for (int attempt = 1; attempt <= 10; ++attempt) {
        assign("a");
        send_event("a", wire::event_started);
        report_lost("a", false);
        send_event("a", wire::event_lease_over);
        EXPECT_EQ(m_table.find("a")->state(), wire::job_queued);
    }
}

TEST_F(job_table_test, record_bytes_are_bounded_and_ended_jobs_free_their_payload) {
    job_table table({}, 1000, 10'000);
    const auto submit = [&](const std::string& id) {
        wire::job job;
        job.set_id(id);
        job.set_tenant("t");
        job.set_payload(std::string(4000, 'p'));
        return table.submit(job, 100, ++m_index);
    };
    EXPECT_FALSE(submit("a"));
    EXPECT_FALSE(submit("b"));
    EXPECT_EQ(submit("c"), make_error_code(state_errc::jobs_full));
    EXPECT_FALSE(submit("a")); // it exists: the same result as before
    wire::cancel_job cancel;
    cancel.set_job("a");
    cancel.set_at_ms(5);
    EXPECT_FALSE(table.cancel(cancel, ++m_index));
    EXPECT_EQ(table.find("a")->payload(), "");
    EXPECT_FALSE(submit("c"));
    table.expire(6);
    EXPECT_EQ(table.get_count(), 2U);
    EXPECT_GT(table.get_bytes(), 8000U);
    EXPECT_LT(table.get_bytes(), 8200U);
}

TEST_F(job_table_test, parked_job_keeps_its_payload_for_a_rerun) {
    wire::job job;
    job.set_id("a");
    job.set_tenant("t");
    job.set_payload("work");
    EXPECT_FALSE(m_table.submit(job, 100, ++m_index));
    EXPECT_FALSE(send_event("a", wire::event_unplaceable));
    EXPECT_EQ(m_table.find("a")->state(), wire::job_parked);
    EXPECT_EQ(m_table.find("a")->payload(), "work");
    wire::resolve_job resolve;
    resolve.set_job("a");
    resolve.set_action(wire::resolve_rerun);
    EXPECT_FALSE(m_table.resolve(resolve, ++m_index));
    assign("a");
    send_event("a", wire::event_started);
    send_event("a", wire::event_finished);
    EXPECT_EQ(m_table.find("a")->payload(), "");
}

TEST_F(job_table_test, lost_job_waits_for_its_lease) {
    add("a");
    assign("a");
    send_event("a", wire::event_started);
    EXPECT_FALSE(send_event("a", wire::event_lost));
    EXPECT_EQ(m_table.find("a")->state(), wire::job_running);
    EXPECT_EQ(m_table.get_queued_count(), 0U);
    EXPECT_FALSE(send_event("a", wire::event_lease_over));
    EXPECT_EQ(m_table.find("a")->state(), wire::job_queued);
}

TEST_F(job_table_test, repeated_loss_does_not_prolong_the_wait) {
    add("a");
    assign("a");
    send_event("a", wire::event_started);
    send_event("a", wire::event_lost);
    const auto seen = m_table.find("a")->changed_index();
    EXPECT_FALSE(send_event("a", wire::event_lost)); // an owner repeats it until it is confirmed
    EXPECT_EQ(m_table.find("a")->changed_index(), seen);
    EXPECT_FALSE(send_event("a", wire::event_lease_over));
    EXPECT_EQ(m_table.find("a")->state(), wire::job_queued);
}

TEST_F(job_table_test, lease_end_of_an_earlier_loss_does_nothing) {
    add("a");
    assign("a");
    send_event("a", wire::event_lost);
    wire::job_event over;
    over.set_job("a");
    over.set_attempt(1);
    over.set_kind(wire::event_lease_over);
    over.set_expected_index(m_table.find("a")->changed_index());
    send_event("a", wire::event_started); // the worker responds again
    send_event("a", wire::event_lost);    // and is lost again: the wait restarts
    m_table.handle_event(over, 3, ++m_index);
    EXPECT_EQ(m_table.find("a")->state(), wire::job_running);
}

TEST_F(job_table_test, unknown_outcome_waits_for_an_operator) {
    add("a", false);
    assign("a");
    send_event("a", wire::event_started);
    send_event("a", wire::event_lost);
    send_event("a", wire::event_lease_over);
    EXPECT_EQ(m_table.find("a")->state(), wire::job_unknown);
    EXPECT_EQ(m_table.get_queued_count(), 0U);
    wire::resolve_job resolve;
    resolve.set_job("a");
    resolve.set_action(wire::resolve_rerun);
    EXPECT_FALSE(m_table.resolve(resolve, ++m_index));
    EXPECT_EQ(m_table.find("a")->state(), wire::job_queued);
}

TEST_F(job_table_test, parks_a_job_that_keeps_failing) {
    add("a");
    for (const auto* worker : {"w1", "w2", "w3"}) {
        assign("a", worker);
        send_event("a", wire::event_started);
        send_event("a", wire::event_failed);
    }
    EXPECT_EQ(m_table.find("a")->state(), wire::job_parked);
    EXPECT_EQ(m_table.find("a")->failed_workers_size(), 3);
}

TEST_F(job_table_test, cancels_waves_without_touching_others) {
    for (int index = 0; index < 90; ++index) {
        add("job-" + std::to_string(index));
    }
    assign("job-0");
    send_event("job-0", wire::event_started);
    wire::cancel_job cancel;
    for (int index = 0; index < 45; ++index) {
        cancel.set_job("job-" + std::to_string(index));
        EXPECT_FALSE(m_table.cancel(cancel, ++m_index));
    }
    EXPECT_EQ(m_table.get_queued_count(), 45U);
    EXPECT_EQ(m_table.find("job-0")->state(), wire::job_running); // until its worker confirms
    send_event("job-0", wire::event_stopped);
    EXPECT_EQ(m_table.find("job-0")->state(), wire::job_cancelled);
}

TEST_F(job_table_test, cancelled_job_never_goes_back_into_the_queue) {
    add("a");
    assign("a");
    wire::cancel_job cancel;
    cancel.set_job("a");
    m_table.cancel(cancel, ++m_index);
    send_event("a", wire::event_refused);
    EXPECT_EQ(m_table.find("a")->state(), wire::job_cancelled);
}

TEST_F(job_table_test, removes_expired_jobs) {
    add("a");
    add("b");
    assign("a");
    send_event("a", wire::event_finished);
    m_table.expire(1);
    EXPECT_FALSE(m_table.find("a").has_value());
    EXPECT_TRUE(m_table.find("b").has_value());
}

TEST_F(job_table_test, limits_the_jobs_of_a_tenant) {
    const auto job = add("a");
    auto second = job;
    second.set_id("b");
    EXPECT_EQ(m_table.submit(second, 1, ++m_index), make_error_code(state_errc::over_quota));
}

RC_GTEST_PROP(job_simulation, holds_its_properties_under_late_and_duplicate_events, ()) {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    RC_LOG() << "seed " << seed;
    RC_ASSERT(job_simulation({}, seed).run(2000) == "");
}

int find_job_violation(const state_rules& rules) {
    for (int seed = 1; seed <= 500; ++seed) {
        if (!job_simulation(rules, static_cast<std::uint64_t>(seed)).run(2000).empty()) {
            return seed;
        }
    }
    return 0;
}

TEST(job_mutation, events_of_other_attempts_are_found) {
    state_rules rules;
    rules.job_compares_attempt = false;
    EXPECT_GT(find_job_violation(rules), 0);
}

TEST(job_mutation, requeue_before_the_lease_is_over_is_found) {
    state_rules rules;
    rules.job_waits_for_lease = false;
    EXPECT_GT(find_job_violation(rules), 0);
}

TEST(job_mutation, rerun_of_an_unknown_outcome_is_found) {
    state_rules rules;
    rules.unknown_is_final = false;
    EXPECT_GT(find_job_violation(rules), 0);
}

} // namespace
} // namespace poplarpitch
