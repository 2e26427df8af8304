// What a new leader takes over of what the former one learned, through the replicated log.
#include "unit_tests/dispatch/dispatch_world.h"
#include "unit_tests/dispatch/log_capture.h"
#include "unit_tests/dispatch/test_steps.h"

#include "poplarpitch/dispatch/demand_levels.h"
#include "poplarpitch/dispatch/long_running_quota.h"
#include "poplarpitch/dispatch/work_forecast.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::int64_t actual_ms = 3000; // three times the estimate of `make_step`
constexpr int overload_seconds = 40;     // longer than the quota observes demand before it relies on it
constexpr std::int64_t world_cores = 64;

dispatch_settings make_settings(bool keep_learned) {
    dispatch_settings settings;
    settings.decisions.keep_learned = keep_learned;
    return settings;
}

step_spec make_filling_step() {
    auto step = make_step(100);
    step.is_filling = true;
    return step;
}

/// A worker in an overload: more filling tasks wait than run, and each step of other jobs takes three times
/// its estimate.
class learned_world : public dispatch_world {
public:
    explicit learned_world(bool keep_learned) : dispatch_world(make_settings(keep_learned)) {
        add_worker("w1");
        submit({make_filling_step()}, 3, 1);
    }

    /// Advances by a second, confirms starts and stops, and ends the runs of steps with one task that are as
    /// old as they take.
    void advance_second() {
        beat(seconds{1});
        for (const auto& order : take<start_order>()) {
            answer(order);
            m_running.emplace(order.run, now);
        }
        for (const auto& order : take<stop_order>()) {
            answer(order);
            m_running.erase(order.run);
        }
        if (!is_hold_pending()) {
            return; // ends are listed once, in the answer to the next hold
        }
        auto list = list_runs();
        std::erase_if(m_running, [&](const auto& run) {
            const auto* record = job_state.find_job(run.first.task.step.job);
            const bool is_done =
                record->job->steps.front().count == 1 && now - run.second >= milliseconds{actual_ms};
            if (is_done) {
                std::erase_if(list.running, [&](const run_entry& row) { return row.run == run.first; });
                list.ended.push_back({++m_last_end, run.first, run_end::done, ""});
            }
            return is_done;
        });
        answer_hold("w1", list);
    }

    [[nodiscard]] bool is_hold_pending() const {
        const auto* worker = find_worker("w1");
        return worker != nullptr && worker->is_hold_pending;
    }

    /// Answers a pending hold of the worker. There is none while it runs nothing.
    void answer_hold_with(const hold_answer& list) {
        if (is_hold_pending()) {
            answer_hold("w1", list);
        }
    }

    [[nodiscard]] hold_answer list_runs() const {
        hold_answer list;
        for (const auto& [key, began] : m_running) {
            list.running.push_back({key, "", 0, 0});
        }
        return list;
    }

    void overload() {
        for (int second = 0; second < overload_seconds; ++second) {
            submit({make_step()});
            advance_second();
        }
    }

    /// Advances the clock with a heartbeat of the worker.
    void beat(duration length) {
        advance(length);
        send_heartbeat("w1");
    }

    /// Lets the next leader begin after an election of 400 ms. Returns how long it takes until it assigns a
    /// task that waits for a worker, or nothing where it assigns none in ten seconds.
    std::optional<duration> measure_first_placement() {
        constexpr duration election = milliseconds{400};
        constexpr duration patience = seconds{10};
        advance(election);
        start_leading();
        const auto began = now;
        const auto assigned = scheduler.get_counts().assigned;
        submit({make_step()});
        send_heartbeat("w1");
        while (now - began < patience) {
            answer_hold_with(list_runs());
            if (scheduler.get_counts().assigned > assigned) {
                return now - began;
            }
            advance(milliseconds{20});
        }
        return std::nullopt;
    }

    [[nodiscard]] const learned_record* find_record(std::string_view part) const {
        const auto& records = job_state.get_learned();
        const auto found = std::find_if(records.begin(), records.end(),
                                        [&](const learned_record& item) { return item.part == part; });
        return found == records.end() ? nullptr : &*found;
    }

    /// Returns the demand that the records hold.
    [[nodiscard]] demand_levels get_demand() const {
        demand_levels levels;
        const auto* record = find_record(demand_levels::part_name);
        EXPECT_TRUE(record != nullptr && levels.load(record->body, wall_ms));
        return levels;
    }

private:
    std::map<run_key, time_point> m_running; ///< and when each began
    std::uint64_t m_last_end = 0;
};

/// Returns how long the dispatcher of the world expects a new job's step to take, by the job's objective.
std::int64_t get_learned_ms(const learned_world& world) {
    work_forecast forecast;
    const auto* record = world.find_record(work_forecast::part_name);
    EXPECT_TRUE(record != nullptr && forecast.load(record->body, world.wall_ms));
    step_job job;
    job.queue.name = "queue";
    return forecast.predict_ms(job, make_step());
}

std::vector<std::string> find_results(const log_capture& log) {
    std::vector<std::string> results;
    for (const auto& line : log.find("learned_restored")) {
        const auto at = line.find("result=");
        EXPECT_NE(at, std::string::npos) << line;
        results.push_back(line.substr(at));
    }
    return results;
}

/// Returns how many long-running tasks with one core each the dispatcher accepts now.
std::int64_t count_admitted(learned_world& world) {
    auto step = make_step();
    step.long_running = true;
    std::int64_t admitted = 0;
    for (; admitted <= world_cores; ++admitted) {
        step_job job;
        job.id = 1'000'000 + static_cast<job_id>(admitted);
        job.queue.pool = world_pool;
        job.steps = {step};
        if (!world.scheduler.admit(job, world.now).is_admitted()) {
            break;
        }
    }
    return admitted;
}

/// Guards against a new leader that judges the jobs it finds by the callers' estimates.
TEST(dispatcher_learned, has_the_durations_before_its_first_placement) {
    constexpr std::int64_t ended_soonest_ms = 2000; // the estimate is 1000, and each step takes 3000
    for (const bool keep_learned : {true, false}) {
        learned_world world(keep_learned);
        world.overload();
        if (keep_learned) {
            EXPECT_GT(get_learned_ms(world), ended_soonest_ms);
        }
        const log_capture log;
        world.start_leading();
        const auto id = world.submit({make_step()});
        world.cancel(id);
        const auto lines = log.find("job_ended");
        ASSERT_EQ(lines.size(), 1U);
        // The objective is twice the path plus 1 s: 3000 by the estimate, about 7000 as learned.
        const auto at = lines.front().find("objective_ms=");
        ASSERT_NE(at, std::string::npos);
        const auto objective_ms = std::stoll(lines.front().substr(at + std::string("objective_ms=").size()));
        if (keep_learned) {
            EXPECT_GT(objective_ms, 2 * ended_soonest_ms + 1000);
        } else {
            EXPECT_EQ(objective_ms, 3000);
        }
    }
}

/// Guards against a new leader that, for the first 30 s, does not know the peaks of other demand.
TEST(dispatcher_learned, has_the_peaks_of_the_quota_after_its_first_observation) {
    for (const bool keep_learned : {true, false}) {
        learned_world world(keep_learned);
        for (int second = 0; second < overload_seconds; ++second) {
            world.advance_second();
        }
        world.cancel(1); // the filling job, whose demand of 100 cores is the peak
        for (int second = 0; second < 200; ++second) {
            world.advance_second();
        }
        const auto before = count_admitted(world);
        EXPECT_GT(before, world_cores * 4 / 5)
            << "the others demand little, so more than the share is accepted";
        world.start_leading();
        for (int round = 0; round < 4; ++round) {
            world.beat(milliseconds{500});
            world.answer_hold_with(world.list_runs());
        }
        const auto after = count_admitted(world);
        if (keep_learned) {
            EXPECT_NEAR(static_cast<double>(after), static_cast<double>(before), 1);
        } else {
            EXPECT_EQ(after, world_cores * 4 / 5);
        }
    }
}

/// Guards against a new leader that slows filling tasks, and lets serving tasks take the workers of short
/// ones, as if nothing waited.
TEST(dispatcher_learned, records_the_demand_of_an_overload_and_logs_that_it_is_loaded) {
    learned_world world(true);
    world.overload();
    const auto levels = world.get_demand();
    EXPECT_GT(levels.filling_backlog, 0.1);
    EXPECT_GT(levels.short_task_millicores, 1000);
    const log_capture log;
    world.start_leading();
    EXPECT_EQ(find_results(log),
              (std::vector<std::string>{"result=loaded", "result=loaded", "result=loaded"}));
    world.advance(seconds{2}); // no worker has reported, so nothing is known but what was loaded
    EXPECT_EQ(world.find_record(demand_levels::part_name)->written_ms, world.wall_ms);
    EXPECT_GT(world.get_demand().short_task_millicores, levels.short_task_millicores / 2);
}

/// Guards against a record that is lost with a batch that the log did not commit.
TEST(dispatcher_learned, writes_a_batch_again_that_was_not_committed) {
    learned_world world(true);
    const auto count_records = [&] {
        std::size_t records = 0;
        for (const auto& command : world.tick_without_commit()) {
            records += static_cast<std::size_t>(command.learned().records_size());
        }
        return records;
    };
    const auto pass = [&](duration length) {
        world.now += length;
        world.wall_ms += to_milliseconds(length);
    };
    pass(seconds{2});
    const auto first = count_records();
    EXPECT_GT(first, 0U);
    EXPECT_TRUE(world.job_state.get_learned().empty());
    pass(milliseconds{1900});
    EXPECT_EQ(count_records(), 0U) << "not before the next interval";
    pass(milliseconds{100});
    EXPECT_GE(count_records(), first);
    world.advance(seconds{2});
    EXPECT_GE(world.job_state.get_learned().size(), first);
}

/// Guards against a former leader that overwrites what its successor has learned.
TEST(dispatcher_learned, writes_nothing_after_it_lost_its_lead) {
    learned_world world(true);
    world.overload();
    world.now += seconds{2};
    world.wall_ms += 2000;
    world.scheduler.tick(world.now, world.wall_ms); // its commands are proposed after it has lost the lead
    world.scheduler.stop_leading();
    EXPECT_TRUE(world.scheduler.take_commands().empty());
    world.now += seconds{10};
    EXPECT_TRUE(world.tick_without_commit().empty());
}

/// Guards against a command of the new kind, or a record that is read, where the deployment did not turn it
/// on.
TEST(dispatcher_learned, writes_and_reads_nothing_with_the_switch_off) {
    learned_world on(true);
    on.overload();
    EXPECT_GT(on.count_learned_commands(), 0U);
    learned_world off(false);
    off.overload();
    EXPECT_EQ(off.count_learned_commands(), 0U);
    job_wire::job_command command; // of an instance on which it is on
    encode(on.job_state.get_learned(), *command.mutable_learned());
    std::vector<job_state_event> events;
    off.job_state.apply(command, events);
    const log_capture log;
    off.start_leading();
    EXPECT_TRUE(log.find("learned_restored").empty());
    EXPECT_EQ(count_admitted(off), world_cores + 1) << "no worker is known, as without records";
}

/// Guards against records that outlive their load, and against clocks of instances that differ or jump.
TEST(dispatcher_learned, drops_old_foreign_and_unknown_records_with_a_log_line) {
    learned_world world(true);
    world.overload();
    const auto kept_ms = world.wall_ms;
    // A record whose body did not change may be as old as the overload.
    for (const std::int64_t jump_ms : {62'000, -62'000 - 1000 * overload_seconds}) {
        world.wall_ms = kept_ms + jump_ms;
        const log_capture log;
        world.start_leading();
        EXPECT_EQ(find_results(log),
                  (std::vector<std::string>{"result=too_old", "result=too_old", "result=too_old"}));
    }
    world.wall_ms = kept_ms;
    job_wire::job_command command;
    encode({{std::string(work_forecast::part_name), 1, "\xff\xff", kept_ms},
            {std::string(long_running_quota::part_name), 9, "", kept_ms},
            {"of_a_later_version", 1, "", kept_ms}},
           *command.mutable_learned());
    std::vector<job_state_event> events;
    world.job_state.apply(command, events);
    const log_capture log;
    world.start_leading();
    EXPECT_EQ(find_results(log), (std::vector<std::string>{"result=unreadable", "result=other_version",
                                                           "result=loaded", "result=unknown_part"}));
}

/// Guards against loading that delays a new leader. The placement waits for the fence to be raised and for
/// the first list of a worker, not for what is learned.
TEST(dispatcher_learned, takes_no_longer_to_its_first_placement) {
    std::vector<std::int64_t> took_ms;
    for (const bool keep_learned : {true, false}) {
        learned_world world(keep_learned);
        world.overload();
        const auto took = world.measure_first_placement();
        ASSERT_TRUE(took.has_value());
        took_ms.push_back(to_milliseconds(*took));
    }
    RecordProperty("first_placement_with_records_ms", std::to_string(took_ms[0]));
    RecordProperty("first_placement_without_records_ms", std::to_string(took_ms[1]));
    EXPECT_LE(took_ms[0], took_ms[1]);
}

/// Guards against a log that grows by more than 4 KB a second through one kind of command.
TEST(dispatcher_learned, writes_less_than_four_kilobytes_a_second_in_an_overload) {
    learned_world world(true);
    world.overload();
    const auto bytes = world.scheduler.get_counts().learned_bytes;
    EXPECT_GT(bytes, 0U);
    EXPECT_LE(bytes, 4096U * overload_seconds);
    RecordProperty("learned_bytes", std::to_string(bytes));
}

} // namespace
} // namespace poplarpitch
