// The replicated state of jobs: the same commands give the same state, also through a snapshot, and no
// command takes effect twice.
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_size.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <random>

namespace poplarpitch {
namespace {

step_job make_job(job_id id, std::uint32_t tasks, std::uint32_t attempts = 2) {
    step_job job;
    job.id = id;
    job.payload = "payload";
    job.queue.name = "queue";
    job.queue.max_attempts = attempts;
    step_spec first;
    first.count = tasks;
    step_spec second = first;
    second.depends_on = {0};
    second.speculative = true;
    job.steps = {first, second};
    return job;
}

job_wire::job_command make_submit(const step_job& job) {
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    return command;
}

job_wire::job_command make_assign(const task_key& task, std::uint32_t run, const std::string& worker) {
    job_wire::job_command command;
    encode(task, *command.mutable_assign()->mutable_task());
    command.mutable_assign()->set_run(run);
    command.mutable_assign()->set_worker(worker);
    return command;
}

job_wire::job_command make_end(const task_key& task, std::uint32_t run, const std::string& worker,
                               run_end end) {
    job_wire::job_command command;
    auto& message = *command.mutable_end();
    encode(task, *message.mutable_task());
    message.set_run(run);
    message.set_worker(worker);
    message.set_kind(static_cast<std::uint32_t>(end));
    return command;
}

command_outcome apply(job_state_machine& job_state, const job_wire::job_command& command) {
    std::vector<job_state_event> events;
    return job_state.apply(command, events);
}

TEST(job_state_machine, creates_one_job_for_a_repeated_submission) {
    job_state_machine job_state;
    EXPECT_EQ(apply(job_state, make_submit(make_job(1, 2))), command_outcome::applied);
    EXPECT_EQ(apply(job_state, make_submit(make_job(1, 2))), command_outcome::repeated);
    EXPECT_EQ(job_state.get_jobs().size(), 1U);
}

TEST(job_book, assigns_no_run_of_a_task_that_may_still_run) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    const task_key task{{1, 0, 0}, 0};
    EXPECT_EQ(apply(job_state, make_assign(task, 1, "w1")), command_outcome::applied);
    EXPECT_EQ(apply(job_state, make_assign(task, 2, "w2")), command_outcome::refused);
    EXPECT_EQ(apply(job_state, make_end(task, 1, "w1", run_end::lost)), command_outcome::applied);
    EXPECT_EQ(apply(job_state, make_assign(task, 1, "w2")),
              command_outcome::refused); // run numbers must increase
    EXPECT_EQ(apply(job_state, make_assign(task, 2, "w2")), command_outcome::applied);
}

TEST(job_state_machine, assigns_nothing_to_a_draining_worker) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    job_wire::job_command retire;
    retire.mutable_retire()->set_worker("w1");
    apply(job_state, retire);
    EXPECT_EQ(apply(job_state, make_assign({{1, 0, 0}, 0}, 1, "w1")), command_outcome::refused);
}

job_wire::job_command make_crash(const task_key& task, std::uint32_t run, const std::string& worker) {
    auto command = make_end(task, run, worker, run_end::lost);
    command.mutable_end()->set_crash(static_cast<std::uint32_t>(crash_evidence::clear));
    return command;
}

job_wire::job_command make_late_crash(const task_key& task, std::uint32_t run, const std::string& worker) {
    job_wire::job_command command;
    encode(task, *command.mutable_crash()->mutable_task());
    command.mutable_crash()->set_run(run);
    command.mutable_crash()->set_worker(worker);
    command.mutable_crash()->set_crash(static_cast<std::uint32_t>(crash_evidence::possible));
    return command;
}

TEST(job_state_machine, counts_a_crash_once_that_is_reported_twice_or_by_two_commands) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    const task_key task{{1, 0, 0}, 0};
    apply(job_state, make_assign(task, 1, "w1"));
    EXPECT_EQ(apply(job_state, make_crash(task, 1, "w1")), command_outcome::applied);
    EXPECT_EQ(apply(job_state, make_crash(task, 1, "w1")), command_outcome::repeated);
    apply(job_state, make_late_crash(task, 1, "w1"));
    EXPECT_EQ(job_state.find_task(task)->crash.crashes, 1U);
}

TEST(job_state_machine, counts_a_crash_that_is_detected_after_the_run_was_given_up) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    const task_key task{{1, 0, 0}, 0};
    apply(job_state, make_assign(task, 1, "w1"));
    apply(job_state, make_end(task, 1, "w1", run_end::lost));
    apply(job_state, make_assign(task, 2, "w2"));
    apply(job_state, make_late_crash(task, 1, "w1"));
    EXPECT_EQ(job_state.find_task(task)->crash.crashes, 1U);
    EXPECT_EQ(job_state.find_task(task)->runs.size(), 1U) << "its next run goes on";
}

TEST(job_state_machine, keeps_crashes_in_a_snapshot_and_reads_none_from_an_older_version) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    const task_key task{{1, 0, 0}, 0};
    apply(job_state, make_assign(task, 1, "w1"));
    apply(job_state, make_crash(task, 1, "w1"));
    job_state_machine other;
    ASSERT_TRUE(other.load(job_state.save()));
    EXPECT_EQ(other.find_task(task)->crash, job_state.find_task(task)->crash);
    job_wire::job_book_snapshot older;
    ASSERT_TRUE(older.ParseFromString(job_state.save()));
    older.mutable_jobs(0)->mutable_occurrences(0)->mutable_steps(0)->mutable_tasks(0)->clear_crash();
    ASSERT_TRUE(other.load(older.SerializeAsString()));
    EXPECT_EQ(other.find_task(task)->crash, crash_history{});
}

/// A new leader has to count the use of a job for the data centre that submitted it.
TEST(job_state_machine, keeps_the_data_centre_of_the_caller_and_reads_none_from_an_older_version) {
    auto job = make_job(1, 1);
    job.caller_data_centre = "east";
    job_state_machine job_state;
    apply(job_state, make_submit(job));
    job_state_machine other;
    ASSERT_TRUE(other.load(job_state.save()));
    EXPECT_EQ(other.find_job(1)->job->caller_data_centre, "east");
    job_wire::job_book_snapshot older;
    ASSERT_TRUE(older.ParseFromString(job_state.save()));
    older.mutable_jobs(0)->mutable_job()->clear_caller_data_centre();
    ASSERT_TRUE(other.load(older.SerializeAsString()));
    EXPECT_EQ(other.find_job(1)->job->caller_data_centre, "");
}

TEST(job_state_machine, fails_a_job_whose_task_crashed_its_workers_and_keeps_it_failed) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 2)));
    const task_key task{{1, 0, 0}, 0};
    for (std::uint32_t run = 1; run <= 2; ++run) {
        apply(job_state, make_assign(task, run, "w" + std::to_string(run)));
        apply(job_state, make_crash(task, run, "w" + std::to_string(run)));
    }
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::failed);
    EXPECT_EQ(apply(job_state, make_assign(task, 3, "w3")), command_outcome::refused);
    EXPECT_EQ(apply(job_state, make_assign({{1, 0, 0}, 1}, 1, "w3")), command_outcome::refused);
}

TEST(job_state_machine, keeps_the_newest_configuration_whatever_the_order) {
    job_state_machine job_state;
    const auto put = [&](std::uint64_t version) {
        job_configuration configuration;
        configuration.version = version;
        configuration.document = "version " + std::to_string(version);
        job_wire::job_command command;
        encode(configuration, *command.mutable_config());
        return apply(job_state, command);
    };
    EXPECT_EQ(put(7), command_outcome::applied);
    EXPECT_EQ(put(5), command_outcome::repeated);
    EXPECT_EQ(put(7), command_outcome::repeated);
    EXPECT_EQ(job_state.get_configuration().document, "version 7");
    EXPECT_EQ(put(9), command_outcome::applied);
}

job_wire::job_command make_config(std::uint64_t version) {
    job_wire::job_command command;
    command.mutable_config()->set_version(version);
    return command;
}

job_wire::job_command make_replacement(std::uint64_t version) {
    job_wire::job_command command;
    command.mutable_replace_config()->set_version(version);
    return command;
}

// An earlier release stored the version -1 as the highest number, and no later one took effect.
TEST(job_state_machine, replaces_a_configuration_whose_version_is_invalid) {
    job_state_machine state;
    apply(state, make_config(std::numeric_limits<std::uint64_t>::max()));
    ASSERT_TRUE(state.get_configuration().has_invalid_version());
    EXPECT_EQ(apply(state, make_config(12)), command_outcome::repeated); // as every release does
    EXPECT_EQ(apply(state, make_replacement(12)), command_outcome::applied);
    EXPECT_EQ(state.get_configuration().version, 12U);
    EXPECT_EQ(apply(state, make_config(13)), command_outcome::applied);
}

TEST(job_state_machine, replaces_a_valid_version_only_by_a_higher_one) {
    job_state_machine state;
    apply(state, make_config(12));
    EXPECT_EQ(apply(state, make_replacement(11)), command_outcome::repeated);
    EXPECT_EQ(state.get_configuration().version, 12U);
    EXPECT_EQ(apply(state, make_replacement(13)), command_outcome::applied);
    EXPECT_EQ(state.get_configuration().version, 13U);
}

TEST(job_state_machine, counts_the_failures_of_a_gang_together) {
    job_state_machine job_state;
    auto job = make_job(1, 2, 2);
    job.steps.resize(1);
    job.steps[0].gang = true;
    apply(job_state, make_submit(job));
    for (std::uint32_t run = 1; run <= 2; ++run) {
        for (std::uint32_t index = 0; index < 2; ++index) {
            apply(job_state, make_assign({{1, 0, 0}, index}, run, "w1"));
        }
        apply(job_state, make_end({{1, 0, 0}, run - 1}, run, "w1", run_end::failed));
        apply(job_state, make_end({{1, 0, 0}, 2 - run}, run, "w1", run_end::gang_broken));
    }
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::failed);
}

/// Returns an end of a member that failed in a run of its gang that counts already.
job_wire::job_command make_end_that_counts_not(const task_key& task, std::uint32_t run,
                                               const std::string& worker) {
    auto command = make_end(task, run, worker, run_end::gang_broken);
    command.mutable_end()->set_listed_kind(static_cast<std::uint32_t>(run_end::failed));
    return command;
}

/// Submits job 1, a gang of three whose queue allows three attempts, and assigns its first run.
void start_gang(job_state_machine& job_state) {
    auto job = make_job(1, 3, 3);
    job.steps.resize(1);
    job.steps[0].gang = true;
    apply(job_state, make_submit(job));
    for (std::uint32_t index = 0; index < 3; ++index) {
        apply(job_state, make_assign({{1, 0, 0}, index}, 1, "w" + std::to_string(index)));
    }
}

// The failure of another member of the run must change no count, and must still end that member's run.
TEST(job_state_machine, counts_no_end_that_its_leader_marks_as_counted_already) {
    job_state_machine job_state;
    start_gang(job_state);
    apply(job_state, make_end({{1, 0, 0}, 0}, 1, "w0", run_end::failed));
    std::vector<job_state_event> events;
    job_state.apply(make_end_that_counts_not({{1, 0, 0}, 1}, 1, "w1"), events);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].end, run_end::failed);
    EXPECT_EQ(events[1].what, job_state_event::kind::attempt_failed);
    EXPECT_EQ(events[1].attempts, (attempt_count{1, 1, 3}));
    EXPECT_EQ(job_state.find_task({{1, 0, 0}, 1})->phase, task_phase::waiting);
}

// A snapshot must keep which run of a gang counts, or a new leader counts that run again.
TEST(job_state_machine, keeps_in_snapshots_which_run_of_a_gang_counts) {
    job_state_machine job_state;
    start_gang(job_state);
    apply(job_state, make_end({{1, 0, 0}, 0}, 1, "w0", run_end::failed));
    job_state_machine copy;
    ASSERT_TRUE(copy.load(job_state.save()));
    EXPECT_EQ(copy.find_job(1)->find_step(0, 0)->last_failed_run, 1U);
    EXPECT_EQ(copy.save(), job_state.save());
}

// While instances are replaced one after the other, both versions apply the same commands and must agree.
TEST(job_state_machine, gives_ends_of_a_gang_the_meaning_that_the_former_version_gives_them) {
    job_state_machine job_state;
    start_gang(job_state);
    for (std::uint32_t index = 0; index < 3; ++index) { // a leader of the former version marks none of them
        EXPECT_EQ(job_state.find_job(1)->phase, job_phase::open);
        apply(job_state, make_end({{1, 0, 0}, index}, 1, "w" + std::to_string(index), run_end::failed));
    }
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::failed);
}

std::string decode_hex(std::string_view text) {
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); index += 2) {
        bytes += static_cast<char>(std::stoi(std::string(text.substr(index, 2)), nullptr, 16));
    }
    return bytes;
}

// A snapshot of the former version, with two failures of members in run 1 and the third member running.
TEST(job_state_machine, reads_a_snapshot_of_the_version_that_counted_each_member) {
    job_state_machine job_state;
    ASSERT_TRUE(job_state.load(
        decode_hex("0a00124e0a2c09010000000000000012077061796c6f61641a04080340013a120a05717565756530"
                   "0339000000000000f03f18012a1c121a0a04100118010a04100118010a0c080110012a0608011202"
                   "773228023200")));
    EXPECT_EQ(job_state.find_job(1)->find_step(0, 0)->count_gang_failures(), 2U);
    apply(job_state, make_end_that_counts_not({{1, 0, 0}, 2}, 1, "w2"));
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::open);
    EXPECT_EQ(job_state.find_task({{1, 0, 0}, 2})->phase, task_phase::waiting);
}

// Workers of failed runs are kept for the next leader, and a task that runs for days must not add them up.
TEST(job_state_machine, keeps_the_workers_of_the_last_failed_runs_in_snapshots) {
    job_state_machine job_state;
    auto job = make_job(1, 1, 2);
    job.steps.resize(1);
    job.steps[0].long_running = true;
    apply(job_state, make_submit(job));
    const task_key task{{1, 0, 0}, 0};
    const auto count = static_cast<std::uint32_t>(task_record::max_failed_on) + 1;
    for (std::uint32_t run = 1; run <= count; ++run) {
        const auto worker = "w" + std::to_string(run);
        apply(job_state, make_assign(task, run, worker));
        apply(job_state, make_end(task, run, worker, run_end::failed));
    }
    job_state_machine copy;
    ASSERT_TRUE(copy.load(job_state.save()));
    const auto& failed_on = copy.find_task(task)->failed_on;
    ASSERT_EQ(failed_on.size(), task_record::max_failed_on);
    EXPECT_EQ(failed_on.front().id, "w2");
    EXPECT_EQ(failed_on.back().id, "w" + std::to_string(count));
}

// Each of two runs that are at work at once is an attempt of its own.
TEST(job_state_machine, counts_each_copy_of_a_task_that_fails) {
    job_state_machine job_state;
    auto job = make_job(1, 1, 2);
    job.steps.resize(1);
    job.steps[0].speculative = true;
    apply(job_state, make_submit(job));
    const task_key task{{1, 0, 0}, 0};
    apply(job_state, make_assign(task, 1, "w1"));
    apply(job_state, make_assign(task, 2, "w2"));
    apply(job_state, make_end(task, 2, "w2", run_end::failed));
    apply(job_state, make_end(task, 2, "w2", run_end::failed)); // listed again
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::open);
    apply(job_state, make_end(task, 1, "w1", run_end::failed));
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::failed);
}

// Attempts of one occurrence must not be taken from another one, nor those of one step from the next.
TEST(job_state_machine, counts_the_attempts_of_each_occurrence_and_step_apart) {
    job_state_machine job_state;
    auto job = make_job(1, 2, 2);
    job.schedule = job_schedule{2, 0, 100};
    job.steps[0].gang = true;
    job.steps[1].gang = true;
    job.steps[1].depends_on.clear();
    apply(job_state, make_submit(job));
    for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
        for (std::uint32_t step = 0; step < 2; ++step) {
            const task_key member{{1, occurrence, step}, 0};
            apply(job_state, make_assign(member, 1, "w1"));
            apply(job_state, make_end(member, 1, "w1", run_end::failed));
            EXPECT_EQ(job_state.find_job(1)->find_step(occurrence, step)->count_gang_failures(), 1U);
        }
    }
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::open);
}

// A worker that crashes with several members of a gang is one crash for each of them, and no failed attempt.
TEST(job_state_machine, counts_one_crash_under_several_members_once_for_each) {
    job_state_machine job_state;
    start_gang(job_state);
    for (std::uint32_t index = 0; index < 3; ++index) {
        auto end = make_end({{1, 0, 0}, index}, 1, "w" + std::to_string(index), run_end::lost);
        end.mutable_end()->set_crash(static_cast<std::uint32_t>(crash_evidence::likely));
        apply(job_state, end);
    }
    EXPECT_EQ(job_state.find_job(1)->phase, job_phase::open);
    EXPECT_EQ(job_state.find_job(1)->find_step(0, 0)->count_gang_failures(), 0U);
    for (std::uint32_t index = 0; index < 3; ++index) {
        EXPECT_EQ(job_state.find_task({{1, 0, 0}, index})->crash.crashes, 1U);
    }
}

TEST(job_state_machine, refuses_bytes_that_are_not_a_snapshot) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    EXPECT_FALSE(job_state.load("\xff\xff\xff not one"));
    EXPECT_TRUE(job_state.get_jobs().empty());
}

job_wire::job_command make_retire(const worker_incarnation& incarnation) {
    job_wire::job_command command;
    command.mutable_retire()->set_worker(incarnation.id);
    command.mutable_retire()->set_born_ms(incarnation.process_start_ms);
    return command;
}

TEST(job_state_machine, retires_one_incarnation_of_a_worker_and_no_other) {
    job_state_machine job_state;
    apply(job_state, make_retire({"w1", 100}));
    EXPECT_TRUE(job_state.is_retired({"w1", 100}));
    EXPECT_FALSE(job_state.is_retired({"w1", 200}));
    job_state_machine restored;
    ASSERT_TRUE(restored.load(job_state.save()));
    EXPECT_TRUE(restored.is_retired({"w1", 100}));
    EXPECT_FALSE(restored.is_retired({"w1", 200}));
}

// A wrong total would refuse jobs for good, or none any more.
TEST(job_state_machine, counts_the_bytes_of_its_jobs_through_their_lives) {
    job_state_machine job_state;
    const auto expect_sum = [&job_state] {
        std::size_t sum = 0;
        for (const auto& [id, record] : job_state.get_jobs()) {
            sum += estimate_bytes(record);
        }
        EXPECT_EQ(job_state.get_job_bytes(), sum);
        job_state_machine restored;
        EXPECT_TRUE(restored.load(job_state.save()));
        EXPECT_EQ(restored.get_job_bytes(), sum);
    };
    for (job_id id = 1; id <= 3; ++id) {
        apply(job_state, make_submit(make_job(id, 4)));
        apply(job_state, make_submit(make_job(id, 4))); // repeated
        expect_sum();
    }
    const auto before = job_state.get_job_bytes();
    job_wire::job_command cancel;
    cancel.mutable_cancel()->set_id(2);
    apply(job_state, cancel);
    expect_sum();
    EXPECT_LT(job_state.get_job_bytes(), before);
    EXPECT_TRUE(job_state.find_job(2)->job->payload.empty());
    EXPECT_EQ(job_state.find_job(1)->job->payload, "payload");
    job_wire::job_command forget;
    forget.mutable_forget()->set_id(2);
    apply(job_state, forget);
    apply(job_state, forget);
    expect_sum();
}

// Instances of an earlier release read it, and equal states must give equal bytes.
TEST(job_state_machine, writes_a_snapshot_in_parts_as_the_whole_message) {
    job_state_machine job_state;
    for (job_id id = 1; id <= 3; ++id) {
        apply(job_state, make_submit(make_job(id, 4)));
    }
    const auto bytes = job_state.save();
    job_wire::job_book_snapshot snapshot;
    ASSERT_TRUE(snapshot.ParseFromString(bytes));
    EXPECT_EQ(snapshot.jobs_size(), 3);
    EXPECT_EQ(snapshot.SerializeAsString(), bytes);
}

TEST(job_book, ends_a_run_only_for_the_life_that_it_was_assigned_to) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    const task_key task{{1, 0, 0}, 0};
    auto assign = make_assign(task, 1, "w1");
    assign.mutable_assign()->set_born_ms(100);
    apply(job_state, assign);
    auto end = make_end(task, 1, "w1", run_end::done);
    end.mutable_end()->set_born_ms(200);
    apply(job_state, end);
    EXPECT_EQ(job_state.find_task(task)->phase, task_phase::active);
    end.mutable_end()->set_born_ms(100);
    apply(job_state, end);
    EXPECT_EQ(job_state.find_task(task)->phase, task_phase::done);
}

TEST(job_state_machine, confirms_a_run_only_for_the_incarnation_that_it_was_assigned_to) {
    job_state_machine job_state;
    apply(job_state, make_submit(make_job(1, 1)));
    const task_key task{{1, 0, 0}, 0};
    auto assign = make_assign(task, 1, "w1");
    assign.mutable_assign()->set_born_ms(100);
    apply(job_state, assign);
    job_wire::job_command confirm;
    encode(task, *confirm.mutable_confirm()->mutable_task());
    confirm.mutable_confirm()->set_run(1);
    confirm.mutable_confirm()->set_worker("w1");
    confirm.mutable_confirm()->set_born_ms(200);
    apply(job_state, confirm);
    EXPECT_FALSE(job_state.find_task(task)->runs.at(0).is_confirmed);
    confirm.mutable_confirm()->set_born_ms(100);
    apply(job_state, confirm);
    job_state_machine restored;
    ASSERT_TRUE(restored.load(job_state.save()));
    EXPECT_TRUE(restored.find_task(task)->runs.at(0).is_confirmed);
}

TEST(job_state_machine, reads_a_snapshot_of_a_version_without_start_times) {
    job_wire::job_book_snapshot snapshot;
    snapshot.add_retired("w1");
    job_state_machine job_state;
    ASSERT_TRUE(job_state.load(snapshot.SerializeAsString()));
    EXPECT_TRUE(job_state.is_retired({"w1", 0}));
    EXPECT_FALSE(job_state.is_retired({"w1", 100})) << "it reports again that it leaves";
    EXPECT_EQ(job_state.get_fence_raises(), 0U);
}

TEST(job_state_machine, keeps_the_number_of_fence_raises_in_a_snapshot) {
    job_state_machine job_state;
    job_wire::job_command raise;
    raise.mutable_raise_fence();
    apply(job_state, raise);
    apply(job_state, raise);
    job_state_machine restored;
    ASSERT_TRUE(restored.load(job_state.save()));
    EXPECT_EQ(restored.get_fence_raises(), 2U);
}

job_wire::job_command make_drain(const std::string& data_centre, bool undo) {
    job_wire::job_command command;
    command.mutable_drain()->set_name(data_centre);
    command.mutable_drain()->set_undo(undo);
    return command;
}

TEST(job_state_machine, keeps_drained_data_centres_in_a_snapshot_until_the_order_is_withdrawn) {
    job_state_machine job_state;
    EXPECT_EQ(apply(job_state, make_drain("east", false)), command_outcome::applied);
    EXPECT_EQ(apply(job_state, make_drain("east", false)), command_outcome::repeated);
    EXPECT_EQ(apply(job_state, make_drain("west", true)), command_outcome::repeated);
    job_state_machine restored;
    ASSERT_TRUE(restored.load(job_state.save()));
    EXPECT_TRUE(restored.is_drained("east"));
    EXPECT_FALSE(restored.is_drained("west"));
    EXPECT_EQ(apply(restored, make_drain("east", true)), command_outcome::applied);
    EXPECT_FALSE(restored.is_drained("east"));
}

/// Applies a random command that a leader may propose, valid or not.
void apply_random(job_state_machine& job_state, std::mt19937& random) {
    const auto draw = [&](std::uint32_t end) {
        return static_cast<std::uint32_t>(random() % end);
    };
    const job_id id = 1 + draw(4);
    const task_key task{{id, 0, draw(2)}, draw(3)};
    const std::string worker = "w" + std::to_string(draw(3));
    switch (draw(6)) {
    case 0:
        apply(job_state, make_submit(make_job(id, 3)));
        return;
    case 1:
    case 2:
        apply(job_state, make_assign(task, 1 + draw(6), worker));
        return;
    case 3:
    case 4:
        apply(job_state, make_end(task, 1 + draw(6), worker, static_cast<run_end>(1 + draw(8))));
        return;
    default:
        if (draw(8) == 0) {
            job_wire::job_command cancel;
            cancel.mutable_cancel()->set_id(id);
            apply(job_state, cancel);
        }
    }
}

RC_GTEST_PROP(job_state_machine_property, is_the_same_on_every_instance_also_through_a_snapshot, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::mt19937 random(seed);
    std::mt19937 same(seed);
    job_state_machine one;
    job_state_machine two;
    for (int command = 0; command < 300; ++command) {
        apply_random(one, random);
        apply_random(two, same);
        if (command == 150) {
            job_state_machine restored;
            RC_ASSERT(restored.load(two.save()));
            two = restored;
        }
    }
    RC_ASSERT(one.save() == two.save());
}

RC_GTEST_PROP(job_state_machine_property, never_assigns_two_runs_of_a_task_that_has_no_copies, ()) {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    job_state_machine job_state;
    for (int command = 0; command < 300; ++command) {
        apply_random(job_state, random);
        for (const auto& [id, record] : job_state.get_jobs()) {
            const auto* step = record.find_step(0, 0);
            for (std::uint32_t index = 0; step != nullptr && index < step->tasks.size(); ++index) {
                RC_ASSERT(step->tasks[index].runs.size() <= 1);
            }
        }
    }
}

} // namespace
} // namespace poplarpitch
