#include "unit_tests/entry/fleet_fixture.h"

namespace poplarpitch {
namespace {

class task_agent_test : public fleet_fixture {
protected:
    task_agent_test() {
        own();
        announce(make_announcement(2, true));
    }

    owned_task& task() { return m_fleet.find("w")->tasks.at("j"); }

    std::vector<wire::command> answer_start(start_result answer) {
        task_action action;
        action.worker = "w";
        action.epoch = 2;
        action.task = task();
        return m_tasks.on_start_answered(action, answer, m_now, 1);
    }

    /// Has a start refused after an earlier start whose answer was lost.
    void refuse_after_lost_answer(bool is_idempotent = true) {
        auto jobs = make_jobs(wire::job_assigned, 2);
        jobs.mutable_jobs(0)->set_idempotent(is_idempotent);
        m_tasks.apply_jobs(jobs, m_now);
        m_tasks.get_actions(m_now);
        EXPECT_TRUE(answer_start(start_result::unknown).empty());
        m_now += seconds{1};
        m_tasks.get_actions(m_now);
        EXPECT_TRUE(answer_start(start_result::refused).empty());
    }

    /// Has the worker answer the stop that is due.
    void stop() {
        const auto actions = m_tasks.get_actions(m_now);
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_EQ(actions[0].verb, task_verb::stop);
        m_tasks.on_stop_answered(actions[0]);
    }

    void commit(wire::job_event_kind kind) {
        wire::job_event event;
        event.set_job("j");
        event.set_attempt(1);
        event.set_kind(kind);
        m_tasks.on_event_committed("w", event);
    }

    /// Returns the silence that the marks which are due set.
    std::vector<bool> get_marks() {
        std::vector<bool> marks;
        for (const auto& command : m_tasks.get_events(m_now, seconds{2}, 1)) {
            EXPECT_TRUE(command.has_mark());
            marks.push_back(command.mark().silent());
        }
        return marks;
    }

    announcement make_running_announcement(std::uint64_t attempt = 1) {
        auto message = make_announcement(2, true);
        message.tasks = {{"j", attempt, seconds{1}}};
        return message;
    }
};

TEST_F(task_agent_test, starts_against_the_ledger_and_raises_the_started_event) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    const auto actions = m_tasks.get_actions(m_now);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].verb, task_verb::start);
    EXPECT_EQ(m_fleet.find("w")->ledger.get_granted().millicores, 1000);
    const auto events = answer_start(start_result::started);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].event().kind(), wire::event_started);
}

TEST_F(task_agent_test, sends_a_start_again_while_its_answer_is_lost) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    EXPECT_TRUE(answer_start(start_result::unknown).empty());
    EXPECT_TRUE(m_tasks.get_actions(m_now).empty());
    m_now += seconds{1};
    EXPECT_EQ(m_tasks.get_actions(m_now).size(), 1U);
    EXPECT_EQ(m_fleet.find("w")->ledger.get_granted().millicores, 1000);
}

TEST_F(task_agent_test, refusal_by_a_newer_epoch_after_a_lost_answer_raises_no_event) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    answer_start(start_result::unknown);
    EXPECT_TRUE(answer_start(start_result::stale_epoch).empty()); // it may run; the new owner checks
}

TEST_F(task_agent_test, restarted_worker_after_a_lost_answer_is_a_loss) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    answer_start(start_result::unknown);
    const auto events = answer_start(start_result::other_process);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].event().kind(), wire::event_lost);
    EXPECT_TRUE(events[0].event().crashed());
}

TEST_F(task_agent_test, refusal_of_a_repeated_start_does_not_end_the_first) {
    refuse_after_lost_answer();
    announce(make_announcement(2, true));
    EXPECT_TRUE(m_events.empty()); // the first start may still arrive
    EXPECT_EQ(m_fleet.find("w")->ledger.get_granted().millicores, 1000);
}

TEST_F(task_agent_test, refusal_of_a_repeated_start_does_not_end_an_unanswered_one) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    m_now += seconds{1};
    ASSERT_EQ(m_tasks.get_actions(m_now).size(), 1U);
    EXPECT_TRUE(answer_start(start_result::refused).empty());
}

TEST_F(task_agent_test, returns_a_refused_repeat_once_a_list_after_its_stop_omits_it) {
    refuse_after_lost_answer();
    stop();
    EXPECT_TRUE(task_agent::needs_complete_list(*m_fleet.find("w")));
    announce(make_announcement(2, true)); // may have been in transit when the stop was answered
    EXPECT_TRUE(m_events.empty());
    announce(make_announcement(2, true));
    EXPECT_EQ(only_event_kind(), wire::event_refused);
    commit(wire::event_refused);
    EXPECT_TRUE(m_fleet.find("w")->tasks.empty());
    EXPECT_EQ(m_fleet.find("w")->ledger.get_granted().millicores, 0);
}

TEST_F(task_agent_test, repeats_the_stop_of_a_refused_repeat_until_it_is_answered) {
    refuse_after_lost_answer();
    EXPECT_EQ(m_tasks.get_actions(m_now).size(), 1U);
    EXPECT_TRUE(m_tasks.get_actions(m_now).empty());
    m_now += seconds{1};
    stop();
    m_now += seconds{1};
    EXPECT_TRUE(m_tasks.get_actions(m_now).empty());
}

TEST_F(task_agent_test, first_start_that_was_carried_out_is_stopped_not_refused) {
    refuse_after_lost_answer();
    stop();
    announce(make_running_announcement());
    announce(make_running_announcement());
    EXPECT_TRUE(m_events.empty());
    auto message = make_announcement(2, true);
    message.reports = {{41, "j", 1, "stopped", "", "", 1, 1, 1}};
    announce(message);
    EXPECT_EQ(only_event_kind(), wire::event_stopped);
}

TEST_F(task_agent_test, withdrawn_task_on_a_restarted_worker_is_lost) {
    refuse_after_lost_answer();
    stop();
    auto message = make_announcement(2, true);
    message.incarnation = 78;
    announce(message);
    EXPECT_EQ(only_event_kind(), wire::event_lost);
}

TEST_F(task_agent_test, worker_heard_again_keeps_a_task_withdrawn) {
    refuse_after_lost_answer();
    m_now += seconds{3};
    m_tasks.get_events(m_now, seconds{2}, 1);
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    announce(make_announcement(2, true));
    EXPECT_TRUE(m_events.empty());
    m_now += seconds{1};
    stop();
}

TEST_F(task_agent_test, list_of_a_worker_heard_again_does_not_decide_about_an_unanswered_start) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    m_now += seconds{3};
    m_tasks.get_events(m_now, seconds{2}, 1);
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    announce(make_announcement(2, true));
    EXPECT_TRUE(m_events.empty());
    stop();
    announce(make_announcement(2, true));
    EXPECT_TRUE(m_events.empty());
    announce(make_announcement(2, true));
    EXPECT_EQ(only_event_kind(), wire::event_refused);
}

TEST_F(task_agent_test, unanswered_start_that_a_worker_heard_again_lists_continues) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    m_now += seconds{3};
    m_tasks.get_events(m_now, seconds{2}, 1);
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    announce(make_running_announcement());
    EXPECT_EQ(only_event_kind(), wire::event_started);
}

TEST_F(task_agent_test, start_without_answer_that_must_run_once_is_lost_not_absent) {
    auto jobs = make_jobs(wire::job_assigned, 2);
    jobs.mutable_jobs(0)->set_idempotent(false);
    m_tasks.apply_jobs(jobs, m_now);
    m_tasks.get_actions(m_now);
    m_now += seconds{3};
    m_tasks.get_events(m_now, seconds{2}, 1);
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    announce(make_announcement(2, true));
    EXPECT_TRUE(m_events.empty());
    m_now += seconds{3};
    announce(make_announcement(2, true));
    EXPECT_EQ(only_event_kind(), wire::event_lost);
}

TEST_F(task_agent_test, renews_nothing_while_a_withdrawn_task_may_count_as_lost) {
    refuse_after_lost_answer();
    EXPECT_TRUE(m_tasks.may_renew_leases(*m_fleet.find("w")));
    m_now += seconds{3};
    m_tasks.get_events(m_now, seconds{2}, 1);
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    EXPECT_FALSE(m_tasks.may_renew_leases(*m_fleet.find("w")));
}

TEST_F(task_agent_test, repeats_the_start_of_a_non_idempotent_task_instead_of_stopping_it) {
    refuse_after_lost_answer(false);
    EXPECT_TRUE(m_tasks.get_actions(m_now).empty());
    m_now += seconds{1};
    const auto actions = m_tasks.get_actions(m_now);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].verb, task_verb::start);
}

TEST_F(task_agent_test, returns_a_task_that_the_worker_refused) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    const auto events = answer_start(start_result::refused);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].event().kind(), wire::event_refused);
    EXPECT_EQ(m_fleet.find("w")->ledger.get_granted().millicores, 0);
}

TEST_F(task_agent_test, job_stays_assigned_when_the_commit_of_its_refusal_fails) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    ASSERT_EQ(answer_start(start_result::refused).size(), 1U);
    EXPECT_TRUE(m_tasks.get_events(m_now, seconds{9}, 1).empty()); // its commit is in progress
    for (int repeat = 0; repeat < 2; ++repeat) {
        m_now += seconds{1};
        const auto events = m_tasks.get_events(m_now, seconds{9}, 1);
        ASSERT_EQ(events.size(), 1U);
        EXPECT_EQ(events[0].event().kind(), wire::event_refused);
    }
    commit(wire::event_refused);
    m_now += seconds{1};
    EXPECT_TRUE(m_tasks.get_events(m_now, seconds{9}, 1).empty());
}

TEST_F(task_agent_test, task_is_started_after_its_return_for_want_of_room_was_raised) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_fleet.find("w")->ledger.set_open(false);
    m_now += seconds{1};
    const auto events = m_tasks.get_events(m_now, seconds{9}, 1);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].event().kind(), wire::event_refused);
    announce(make_announcement(2, true)); // there is room again, and the commit is in progress
    EXPECT_TRUE(m_tasks.get_actions(m_now).empty());
    m_now += seconds{1};
    EXPECT_EQ(m_tasks.get_events(m_now, seconds{9}, 1).size(), 1U);
}

TEST_F(task_agent_test, task_is_started_after_its_return_for_a_silence_was_raised) {
    m_fleet.find("w")->ledger.set_open(false);
    m_now += seconds{3};
    EXPECT_EQ(get_marks(), std::vector<bool>{true});
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now - seconds{1});
    const auto events = m_tasks.get_events(m_now, seconds{2}, 1);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].event().kind(), wire::event_refused);
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    announce(make_announcement(2, true));
    EXPECT_TRUE(m_tasks.get_actions(m_now).empty());
    m_now += seconds{1};
    const auto repeated = m_tasks.get_events(m_now, seconds{2}, 1);
    ASSERT_EQ(repeated.size(), 1U);
    EXPECT_EQ(repeated[0].event().kind(), wire::event_refused);
}

TEST_F(task_agent_test, adopts_a_running_task_of_the_last_owner) {
    m_tasks.apply_jobs(make_jobs(wire::job_running, 1), m_now);
    EXPECT_EQ(m_fleet.find("w")->ledger.get_granted().millicores, 1000); // charged to the ledger at once
    EXPECT_FALSE(m_tasks.may_renew_leases(*m_fleet.find("w")));
    announce(make_running_announcement());
    EXPECT_EQ(only_event_kind(), wire::event_started);
    EXPECT_FALSE(m_tasks.may_renew_leases(*m_fleet.find("w"))); // not before its start is committed
    commit(wire::event_started);
    EXPECT_TRUE(m_tasks.may_renew_leases(*m_fleet.find("w")));
}

TEST_F(task_agent_test, assigned_task_that_was_never_started_is_returned) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 1), m_now);
    announce(make_announcement(2, true));
    EXPECT_EQ(only_event_kind(), wire::event_absent);
}

TEST_F(task_agent_test, assigned_task_on_a_restarted_worker_is_lost_not_absent) {
    auto jobs = make_jobs(wire::job_assigned, 1);
    jobs.mutable_jobs(0)->set_worker_incarnation(76); // the process at the assignment has ended
    m_tasks.apply_jobs(jobs, m_now);
    announce(make_announcement(2, true));
    EXPECT_EQ(only_event_kind(), wire::event_lost);
}

TEST_F(task_agent_test, list_made_before_a_start_returns_the_task_that_runs) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    const auto list = make_announcement(2, true);
    m_tasks.get_actions(m_now);
    ASSERT_EQ(answer_start(start_result::started).size(), 1U);
    announce(list);
    EXPECT_TRUE(m_events.empty());
    m_now += seconds{3};
    announce(make_announcement(2, true));
    EXPECT_EQ(only_event_kind(), wire::event_lost); // a list made long after the start
}

TEST_F(task_agent_test, list_that_arrives_after_a_newer_one_loses_a_task_that_runs) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    const auto late_list = make_announcement(2, true);
    m_tasks.get_actions(m_now);
    answer_start(start_result::started);
    commit(wire::event_started);
    m_now += seconds{3};
    announce(make_running_announcement());
    announce(late_list);
    EXPECT_TRUE(m_events.empty());
}

TEST_F(task_agent_test, silent_worker_loses_its_tasks_and_renews_nothing) {
    m_tasks.apply_jobs(make_jobs(wire::job_running, 1), m_now);
    announce(make_running_announcement());
    commit(wire::event_started);
    m_now += seconds{3};
    const auto events = m_tasks.get_events(m_now, seconds{2}, 1);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_TRUE(events[0].has_mark());
    EXPECT_EQ(events[1].event().kind(), wire::event_lost);
    EXPECT_FALSE(m_tasks.may_renew_leases(*m_fleet.find("w")));
}

TEST_F(task_agent_test, start_that_is_committed_after_the_loss_leaves_the_job_running_nowhere) {
    m_tasks.apply_jobs(make_jobs(wire::job_assigned, 2), m_now);
    m_tasks.get_actions(m_now);
    answer_start(start_result::started); // the commit of this start is late
    m_now += seconds{3};
    EXPECT_EQ(m_tasks.get_events(m_now, seconds{2}, 1).size(), 2U); // the mark and the loss
    commit(wire::event_lost);
    own(2, 2, true);
    m_now += seconds{1};
    EXPECT_TRUE(m_tasks.get_events(m_now, seconds{2}, 1).empty());
    m_tasks.apply_jobs(make_jobs(wire::job_running, 2), m_now); // control counts it as running and not lost
    const auto events = m_tasks.get_events(m_now, seconds{2}, 1);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].event().kind(), wire::event_lost);
}

TEST_F(task_agent_test, worker_stays_marked_as_heard_when_the_commit_of_its_silence_fails) {
    m_now += seconds{3};
    EXPECT_EQ(get_marks(), std::vector<bool>{true});
    EXPECT_TRUE(get_marks().empty()); // its commit is in progress
    m_now += seconds{1};
    EXPECT_EQ(get_marks(), std::vector<bool>{true});
    own(2, 2, true);
    m_now += seconds{1};
    EXPECT_TRUE(get_marks().empty());
}

TEST_F(task_agent_test, worker_heard_again_stays_marked_as_silent_when_its_mark_is_committed_late) {
    m_now += seconds{3};
    EXPECT_EQ(get_marks(), std::vector<bool>{true});
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    announce(make_announcement(2, true));
    own(2, 2, true);
    m_now += seconds{1};
    EXPECT_EQ(get_marks(), std::vector<bool>{false});
    own();
    m_now += seconds{1};
    EXPECT_TRUE(get_marks().empty());
}

TEST_F(task_agent_test, worker_heard_again_must_list_its_tasks_before_they_are_renewed) {
    m_tasks.apply_jobs(make_jobs(wire::job_running, 1), m_now);
    announce(make_running_announcement());
    commit(wire::event_started);
    m_now += seconds{3};
    m_tasks.get_events(m_now, seconds{2}, 1);
    m_tasks.end_silence(*m_fleet.find("w"), m_now);
    EXPECT_FALSE(m_tasks.may_renew_leases(*m_fleet.find("w")));
    announce(make_running_announcement());
    EXPECT_EQ(only_event_kind(), wire::event_started);
    commit(wire::event_started);
    EXPECT_TRUE(m_tasks.may_renew_leases(*m_fleet.find("w")));
}

TEST_F(task_agent_test, stops_a_run_that_the_log_has_superseded) {
    announce(make_running_announcement(7));
    const auto actions = m_tasks.get_actions(m_now);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].verb, task_verb::stop);
    EXPECT_EQ(actions[0].task.attempt, 7U);
}

TEST_F(task_agent_test, cancellation_stops_a_running_task_once_a_second) {
    m_tasks.apply_jobs(make_jobs(wire::job_running, 1), m_now);
    announce(make_running_announcement());
    commit(wire::event_started);
    auto jobs = make_jobs(wire::job_running, 1);
    jobs.mutable_jobs(0)->set_cancel_requested(true);
    m_tasks.apply_jobs(jobs, m_now);
    ASSERT_EQ(m_tasks.get_actions(m_now).size(), 1U);
    EXPECT_TRUE(m_tasks.get_actions(m_now).empty());
    m_now += seconds{1};
    EXPECT_EQ(m_tasks.get_actions(m_now).size(), 1U);
}

TEST_F(task_agent_test, reports_keep_their_numbers_for_the_acknowledgement) {
    m_tasks.apply_jobs(make_jobs(wire::job_running, 1), m_now);
    auto message = make_announcement(2, false);
    message.reports = {{41, "j", 1, "finished", "ok", "", 1, 1, 1}};
    announce(message);
    ASSERT_EQ(m_events.size(), 1U);
    EXPECT_EQ(m_events[0].report, 41U);
    EXPECT_EQ(only_event_kind(), wire::event_finished);
    commit(wire::event_finished);
    EXPECT_TRUE(m_fleet.find("w")->tasks.empty());
    EXPECT_EQ(m_fleet.find("w")->ledger.get_granted().millicores, 0);
}

TEST_F(task_agent_test, throttles_then_evicts_under_lasting_pressure) {
    m_tasks.apply_jobs(make_jobs(wire::job_running, 1), m_now);
    announce(make_running_announcement());
    commit(wire::event_started);
    auto& worker = *m_fleet.find("w");
    m_fleet.get_models().interference.set_estimate(m_fleet.get_models().services.get("s"),
                                                   m_fleet.get_models().batches.get("b"), 10, 1000);
    std::vector<task_verb> verbs;
    for (int tick = 0; tick < 100; ++tick) {
        worker.slowdown = 3;
        worker.last_heard = m_now;
        for (const auto& action : m_tasks.get_actions(m_now)) {
            verbs.push_back(action.verb);
        }
        m_now += milliseconds{100};
    }
    ASSERT_GE(verbs.size(), 2U);
    EXPECT_EQ(verbs[0], task_verb::throttle);
    EXPECT_EQ(verbs[1], task_verb::evict);
    EXPECT_EQ(m_tasks.get_eviction_count(), 1U);
}

} // namespace
} // namespace poplarpitch
