// Admission by the forecast of completion, in an overload of jobs that end.
#include "unit_tests/dispatch/overload_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <vector>

namespace poplarpitch {
namespace {

constexpr duration overload = seconds{60};
constexpr duration drained = seconds{150}; // the rest of three times the load for a minute, and a margin

constexpr std::uint64_t seeds[] = {20261202, 1, 2, 3};

/// Counts of what happened to the jobs of a world.
struct overload_result {
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t in_time = 0;               ///< of the accepted ones: within the objective
    std::size_t past_limit = 0;            ///< of the accepted ones: past the late limit, or not completed
    std::size_t accepted_under_load = 0;   ///< of the accepted ones: during the overload itself
    std::size_t past_limit_under_load = 0; ///< of these: past the late limit, or not completed
    std::size_t refused = 0;               ///< jobs that were refused at their first submission
    std::size_t served = 0;        ///< of these: accepted at their first return, completed within the limit
    std::size_t refused_again = 0; ///< of these: refused at their first return
    duration shortest_retry_after = duration::max();
};

overload_result count(const overload_world& world) {
    overload_result result;
    for (const auto& [id, job] : world.get_jobs()) {
        ++result.jobs;
        const auto took = job.completed.has_value() ? *job.completed - *job.admitted : duration::max();
        result.accepted += job.admitted.has_value() ? 1 : 0;
        result.in_time += took <= overload_world::objective ? 1 : 0;
        result.past_limit += job.admitted.has_value() && took > overload_world::late_limit ? 1 : 0;
        if (job.admitted.has_value() && *job.admitted < overload) {
            ++result.accepted_under_load;
            result.past_limit_under_load += took > overload_world::late_limit ? 1 : 0;
        }
        result.refused += job.refused.empty() ? 0 : 1;
        result.refused_again += job.refused.size() > 1 ? 1 : 0;
        result.served += job.refused.size() == 1 && took <= overload_world::late_limit ? 1 : 0;
        for (const auto wait : job.retry_after) {
            result.shortest_retry_after = std::min(result.shortest_retry_after, wait);
        }
    }
    return result;
}

void print(const char* name, const overload_result& result) {
    std::cout << name << ": jobs=" << result.jobs << " accepted=" << result.accepted
              << " in_time=" << result.in_time << " past_limit=" << result.past_limit
              << " accepted_under_load=" << result.accepted_under_load
              << " past_limit_under_load=" << result.past_limit_under_load << " refused=" << result.refused
              << " served_at_return=" << result.served << " refused_again=" << result.refused_again << '\n';
}

/// Runs a world through its overload until all callers have returned.
overload_result replay(const overload_world_settings& settings) {
    overload_world world(settings);
    world.run(settings.overload + drained);
    return count(world);
}

/// Guards against refusals in a burst that ends before the first job would be too late.
TEST(dispatcher_forecast, refuses_nobody_in_a_burst_of_under_a_second) {
    overload_world_settings settings;
    settings.load = 10;
    settings.overload = milliseconds{900};
    const auto result = replay(settings);
    print("burst", result);
    EXPECT_GT(result.jobs, 30U);
    EXPECT_EQ(result.refused, 0U);
}

/// Guards against refusals under a load that the pool can serve.
TEST(dispatcher_forecast, refuses_nobody_under_a_load_that_fits) {
    overload_world_settings settings;
    settings.load = 0.8;
    const auto result = replay(settings);
    print("fitting", result);
    EXPECT_EQ(result.refused, 0U);
}

/// Recorded load pattern: more than fits for 12 s and longer. All were accepted, and a third was too late.
TEST(dispatcher_forecast, refuses_in_a_lasting_overload_what_would_be_too_late) {
    const auto result = replay({});
    print("overload", result);
    EXPECT_GT(result.refused, result.jobs / 4);
    EXPECT_GE(result.shortest_retry_after, seconds{1});
    EXPECT_EQ(result.accepted, result.jobs)
        << "each caller that returned at its time was accepted in the end";
}

/// Acceptance figure: at three times the usual load, under 5% of the accepted jobs end past the late limit.
TEST(dispatcher_forecast, completes_accepted_jobs_within_the_late_limit) {
    for (const auto seed : seeds) {
        overload_world_settings settings;
        settings.seed = seed;
        const auto result = replay(settings);
        print("seed", result);
        EXPECT_LT(20 * result.past_limit, result.accepted) << seed;
        EXPECT_LT(20 * result.past_limit_under_load, result.accepted_under_load)
            << seed << ": those that are accepted once the load has passed must not hide the others";
    }
}

/// Acceptance figure: over two thirds of the refused are served when they return at the time given.
TEST(dispatcher_forecast, serves_the_refused_when_they_return_at_their_time) {
    for (const auto seed : seeds) {
        overload_world_settings settings;
        settings.seed = seed;
        const auto result = replay(settings);
        EXPECT_GT(3 * result.served, 2 * result.refused) << seed;
    }
}

/// Acceptance figure: fewer than 10% of the refused jobs would have been in time had they been accepted. For
/// each of a sample, a second world that is the same up to the refusal accepts the job.
TEST(dispatcher_forecast, refuses_few_that_would_have_been_in_time) {
    constexpr std::size_t samples = 24;
    overload_world first({});
    first.run(overload);
    std::vector<job_id> refused;
    for (const auto& [id, job] : first.get_jobs()) {
        if (!job.refused.empty()) {
            refused.push_back(id);
        }
    }
    ASSERT_GT(refused.size(), samples);
    std::size_t wrong = 0;
    for (std::size_t sample = 0; sample < samples; ++sample) {
        overload_world_settings settings;
        settings.forced_job = refused[sample * refused.size() / samples];
        overload_world second(settings);
        second.run(first.get_jobs().at(settings.forced_job).submitted + overload_world::late_limit);
        const auto& job = second.get_jobs().at(settings.forced_job);
        ASSERT_TRUE(job.admitted.has_value());
        wrong += job.completed.has_value() && *job.completed - *job.admitted <= overload_world::objective;
    }
    std::cout << "wrong refusals: " << wrong << " of " << samples << '\n';
    EXPECT_LT(10 * wrong, samples);
}

/// The same figure where the second world accepts every job: it shows whether refusals as a whole cost jobs
/// that would have been in time.
TEST(dispatcher_forecast, refuses_few_that_are_in_time_where_all_are_accepted) {
    overload_world first({});
    first.run(overload);
    overload_world_settings settings;
    settings.refuse_late = false;
    overload_world second(settings);
    second.run(overload + drained);
    std::size_t refused = 0;
    std::size_t wrong = 0;
    for (const auto& [id, job] : first.get_jobs()) {
        if (!job.refused.empty()) {
            const auto& other = second.get_jobs().at(id);
            ++refused;
            wrong +=
                other.completed.has_value() && *other.completed - *other.admitted <= overload_world::objective
                    ? 1
                    : 0;
        }
    }
    std::cout << "refused: " << refused << ", of these in time where all are accepted: " << wrong << '\n';
    EXPECT_GT(refused, 100U);
    EXPECT_LT(10 * wrong, refused);
}

/// A repeated submission of an accepted job must not be refused: the caller would take the job for one that
/// never ran.
TEST(dispatcher_forecast, never_refuses_an_accepted_job_that_is_submitted_again) {
    overload_world world({});
    std::size_t refusals = 0;
    std::size_t repeated = 0;
    for (int second = 0; second < 40; ++second) {
        world.run(seconds{1});
        for (const auto& [id, job] : world.get_jobs()) {
            if (job.admitted.has_value() && !job.completed.has_value()) {
                ++repeated;
                refusals += world.submit_again(id).is_admitted() ? 0 : 1;
            }
        }
    }
    EXPECT_GT(count(world).refused, 0U);
    EXPECT_GT(repeated, 100U);
    EXPECT_EQ(refusals, 0U);
}

/// Guards against callers that were told a time by a leader and are refused by its successor.
TEST(dispatcher_forecast, a_new_leader_keeps_the_promises_of_the_former) {
    overload_world_settings settings;
    settings.keep_learned = true;
    overload_world world(settings);
    world.run(seconds{30});
    const auto told_by = world.get_time() - seconds{5}; // the state is replicated every two seconds
    world.change_leader();
    world.run(seconds{30} + drained);
    std::size_t returned = 0;
    std::size_t accepted = 0;
    for (const auto& [id, job] : world.get_jobs()) {
        const bool was_told = !job.refused.empty() && job.refused.front() < told_by &&
                              job.refused.front() + job.retry_after.front() > told_by + seconds{5};
        returned += was_told ? 1 : 0;
        accepted += was_told && job.refused.size() == 1 ? 1 : 0;
    }
    std::cout << "returned to the new leader: " << returned << ", accepted: " << accepted << '\n';
    EXPECT_GT(returned, 20U);
    EXPECT_GT(3 * accepted, 2 * returned);
}

TEST(dispatcher_forecast, refuses_nobody_while_the_switch_is_off) {
    overload_world_settings settings;
    settings.refuse_late = false;
    overload_world world(settings);
    world.run(overload + drained);
    const auto result = count(world);
    print("switch off", result);
    EXPECT_EQ(result.refused, 0U);
    EXPECT_EQ(result.accepted, result.jobs);
    EXPECT_EQ(world.get_dispatcher().get_counts().refused_jobs, 0U);
    EXPECT_EQ(world.get_dispatcher().get_counts().promised_jobs, 0U);
}

} // namespace
} // namespace poplarpitch
