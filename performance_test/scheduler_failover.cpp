// Measures the failover time of real scheduler processes with simulated workers: kills the leader and
// measures the time until a new job is accepted and until it has run.
#include "poplarpitch/core/system_clock.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <cxxopts.hpp>

#include <iostream>
#include <string>

namespace {

using namespace poplarpitch;

constexpr duration run_time = milliseconds{100};
constexpr duration settle_time = seconds{4}; // until all workers are registered and the voters are complete
constexpr duration limit = seconds{30};
constexpr int instances = 5;
constexpr int tasks_per_job = 8;

struct failover_options {
    int workers = 0;
    int rounds = 0;
};

failover_options read_arguments(int count, char** values) {
    cxxopts::Options options("scheduler_failover",
                             "Time until a new leader's work starts after the leader was killed");
    options.add_options()("workers", "number of simulated workers",
                          cxxopts::value<int>()->default_value("1800"))(
        "rounds", "number of leaders to kill", cxxopts::value<int>()->default_value("3"));
    const auto parsed = options.parse(count, values);
    return {parsed["workers"].as<int>(), parsed["rounds"].as<int>()};
}

void sleep_for(duration length) {
    absl::SleepFor(absl::Nanoseconds(std::chrono::nanoseconds(length).count()));
}

/// Kills the leader and prints how long a new job waits. Returns false when the job did not complete within
/// the limit.
bool measure_round(scheduler_cluster& cluster, int round) {
    const system_clock clock;
    const int leader = cluster.find_leader();
    const auto id = absl::StrFormat("%016x", round);
    const auto began = clock.now();
    cluster.get_scheduler(leader).kill();
    const bool is_accepted = cluster.submit(id, tasks_per_job, limit);
    const auto accepted = clock.now();
    const bool is_done = is_accepted && cluster.wait_for_state(id, "completed", limit);
    const auto done = clock.now();
    std::cout << absl::StrFormat("round %d: accepted after %d ms, had run (%d ms) after %d ms\n", round,
                                 to_milliseconds(accepted - began), to_milliseconds(run_time),
                                 to_milliseconds(done - began));
    cluster.start_scheduler(leader);
    return is_done;
}

} // namespace

int main(int count, char** values) {
    const auto options = read_arguments(count, values);
    scheduler_cluster cluster(instances);
    const stand_in_workers workers(options.workers, cluster.get_control_addresses(), run_time);
    cluster.put_config(1);
    bool is_successful = true;
    for (int round = 1; round <= options.rounds && is_successful; ++round) {
        sleep_for(settle_time);
        is_successful = measure_round(cluster, round);
    }
    std::cout << absl::StrFormat("workers=%d overlapping runs=%d\n", options.workers,
                                 workers.get_concurrent_start_count());
    return is_successful && workers.get_concurrent_start_count() == 0 ? 0 : 1;
}
