// Jobs that were cancelled before they were submitted, in the replicated state.
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

constexpr refused_job cancelled{7, 100};

job_wire::job_command make_refuse(const refused_job& job, bool forget = false) {
    job_wire::job_command command;
    command.mutable_refuse()->set_id(job.id);
    command.mutable_refuse()->set_queue(job.queue);
    command.mutable_refuse()->set_forget(forget);
    return command;
}

job_wire::job_command make_submit(job_id id) {
    step_job job;
    job.id = id;
    job.steps.emplace_back();
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    return command;
}

command_outcome apply(job_state_machine& state, const job_wire::job_command& command) {
    std::vector<job_state_event> events;
    return state.apply(command, events);
}

TEST(refused_job, is_known_until_it_is_forgotten_and_in_one_queue_only) {
    job_state_machine state;
    std::vector<job_state_event> events;
    EXPECT_EQ(state.apply(make_refuse(cancelled), events), command_outcome::applied);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].what, job_state_event::kind::job_refused);
    EXPECT_EQ(events[0].run.task.step.job, cancelled.id);
    EXPECT_EQ(events[0].number, cancelled.queue);
    EXPECT_EQ(apply(state, make_refuse(cancelled)), command_outcome::repeated);
    EXPECT_TRUE(state.is_refused(cancelled));
    EXPECT_FALSE(state.is_refused({cancelled.id, cancelled.queue + 1}));
    apply(state, make_refuse(cancelled, true));
    EXPECT_FALSE(state.is_refused(cancelled));
}

// A new leader that starts from a snapshot must not accept a copy of the submission.
TEST(refused_job, is_kept_in_a_snapshot) {
    job_state_machine state;
    apply(state, make_refuse(cancelled));
    job_state_machine loaded;
    ASSERT_TRUE(loaded.load(state.save()));
    EXPECT_TRUE(loaded.is_refused(cancelled));
    EXPECT_EQ(loaded.save(), state.save());
}

// The end of the refusal must not remove a job with the same id of another queue.
TEST(refused_job, leaves_a_job_of_another_queue_alone) {
    job_state_machine state;
    apply(state, make_submit(cancelled.id));
    apply(state, make_refuse(cancelled));
    ASSERT_NE(state.find_job(cancelled.id), nullptr);
    EXPECT_EQ(state.find_job(cancelled.id)->phase, job_phase::open);
    apply(state, make_refuse(cancelled, true));
    EXPECT_NE(state.find_job(cancelled.id), nullptr);
}

// Millions of random ids must fill neither the state nor its snapshot.
TEST(refused_job, is_not_recorded_beyond_the_limit) {
    job_state_machine state;
    for (job_id id = 0; id < job_state_machine::max_refused_jobs; ++id) {
        ASSERT_EQ(apply(state, make_refuse({id, 1})), command_outcome::applied);
    }
    EXPECT_EQ(apply(state, make_refuse({job_state_machine::max_refused_jobs, 1})), command_outcome::refused);
    EXPECT_EQ(apply(state, make_refuse({0, 1})), command_outcome::repeated);
    EXPECT_LT(state.save().size(), 1'000'000U);
    apply(state, make_refuse({0, 1}, true));
    EXPECT_EQ(apply(state, make_refuse({job_state_machine::max_refused_jobs, 1})), command_outcome::applied);
}

// An instance of the former release skips the command; both must draw the same conclusion from a submission
// that a leader of that release accepts.
TEST(refused_job, gives_a_submission_in_the_log_the_meaning_that_the_former_version_gives_it) {
    job_state_machine state;
    job_state_machine former;
    apply(state, make_refuse(cancelled));
    EXPECT_EQ(apply(state, make_submit(cancelled.id)), apply(former, make_submit(cancelled.id)));
    EXPECT_NE(state.find_job(cancelled.id), nullptr);
}

} // namespace
} // namespace poplarpitch
