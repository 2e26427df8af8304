#include "poplarpitch/state/snapshot_restorer.h"

#include "poplarpitch/state/state_machine.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

class snapshot_restorer_test : public testing::Test {
protected:
    snapshot_restorer_test() {
        wire::command config;
        config.mutable_config()->set_text("[tenant t]\n[batch b]\ncores = 1\nmemory = 1GB\n");
        apply(config);
        wire::command open;
        open.mutable_open()->mutable_opened()->set_entry("e");
        open.mutable_open()->mutable_opened()->set_incarnation(1);
        apply(open);
        wire::command add;
        add.mutable_register_target()->mutable_registered()->set_id("w");
        add.mutable_register_target()->mutable_registered()->set_owner("e");
        add.mutable_register_target()->mutable_registered()->mutable_capacity()->set_millicores(64000);
        apply(add);
    }

    void apply(const wire::command& command) { EXPECT_EQ(m_state.apply(++m_index, command).code(), 0U); }

    void submit(const std::string& id, bool is_idempotent) {
        wire::command command;
        auto& job = *command.mutable_submit()->mutable_submitted();
        job.set_id(id);
        job.set_tenant("t");
        job.set_batch("b");
        job.set_idempotent(is_idempotent);
        apply(command);
    }

    void assign(const std::string& id) {
        wire::command command;
        command.mutable_assign()->set_job(id);
        command.mutable_assign()->set_attempt(1);
        command.mutable_assign()->set_worker("w");
        command.mutable_assign()->set_epoch(1);
        apply(command);
    }

    void finish(const std::string& id) {
        wire::command command;
        command.mutable_event()->set_job(id);
        command.mutable_event()->set_attempt(1);
        command.mutable_event()->set_kind(wire::event_finished);
        apply(command);
    }

    state_machine restore() {
        const auto restored = restore_snapshot(m_state.save(), 77);
        EXPECT_TRUE(restored.has_value());
        state_machine machine;
        EXPECT_TRUE(machine.load(restored->data));
        EXPECT_EQ(machine.get_applied(), restored->index);
        return machine;
    }

    state_machine m_state;
    log_index m_index = 0;
};

TEST_F(snapshot_restorer_test, restored_numbers_are_newer_than_what_workers_and_entries_know) {
    submit("j", true);
    assign("j");
    const auto machine = restore();
    EXPECT_GT(machine.get_applied(), m_index + 1000);
    EXPECT_GT(machine.get_fleet().find_worker("w")->epoch(), 1000U);
    EXPECT_EQ(machine.get_fleet().find_worker("w")->owner(), "");
    EXPECT_GT(machine.get_jobs().find("j")->attempt(), 100U);
    EXPECT_TRUE(machine.get_fleet().get_sessions().empty());
    EXPECT_EQ(machine.get_configs().get_version(), 1U);
}

TEST_F(snapshot_restorer_test, job_that_may_have_run_since_waits_for_an_operator) {
    submit("queued", false);
    submit("running", false);
    assign("running");
    const auto machine = restore();
    for (const auto* id : {"queued", "running"}) {
        EXPECT_EQ(machine.get_jobs().find(id)->state(), wire::job_unknown);
        EXPECT_EQ(machine.get_jobs().find(id)->ended_ms(), 77);
    }
    EXPECT_EQ(machine.get_jobs().get_queued_count(), 0U);
}

TEST_F(snapshot_restorer_test, idempotent_job_waits_for_the_lease_it_may_have) {
    submit("queued", true);
    submit("assigned", true);
    assign("assigned");
    auto machine = restore();
    EXPECT_EQ(machine.get_jobs().find("queued")->state(), wire::job_queued);
    const auto job = machine.get_jobs().find("assigned");
    EXPECT_EQ(job->state(), wire::job_running);
    EXPECT_TRUE(job->lost());
    wire::command over;
    over.mutable_event()->set_job("assigned");
    over.mutable_event()->set_attempt(job->attempt());
    over.mutable_event()->set_kind(wire::event_lease_over);
    over.mutable_event()->set_expected_index(job->changed_index());
    EXPECT_EQ(machine.apply(machine.get_applied() + 1, over).code(), 0U);
    EXPECT_EQ(machine.get_jobs().find("assigned")->state(), wire::job_queued);
}

TEST_F(snapshot_restorer_test, ended_jobs_stay_as_they_are) {
    submit("j", false);
    assign("j");
    finish("j");
    const auto before = *m_state.get_jobs().find("j");
    EXPECT_EQ(restore().get_jobs().find("j")->SerializeAsString(), before.SerializeAsString());
}

TEST_F(snapshot_restorer_test, refuses_bytes_that_are_not_a_backup) {
    EXPECT_FALSE(restore_snapshot("", 1).has_value());
    EXPECT_FALSE(restore_snapshot("no backup at all", 1).has_value());
}

} // namespace
} // namespace poplarpitch
