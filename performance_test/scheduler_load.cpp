// Measures the processor time of real scheduler processes under a steady load on simulated workers:
// long-running tasks run all the time, and short jobs arrive at a fixed rate. Prints the processor time of
// each instance per ended task.
#include "poplarpitch/core/system_clock.h"
#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/platform/stand_in_workers.h"

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace poplarpitch;

constexpr duration run_time = milliseconds{900};
// Until the long-running tasks have started and the first short ones have ended.
constexpr duration settle_time = seconds{3};
constexpr int tasks_per_job = 20;
constexpr int schedulers = 3;

struct load_options {
    int workers = 0;
    int long_running_tasks = 0;
    int starts_per_second = 0;
    int measured_seconds = 0;
    bool prints_pids = false;
};

load_options read_arguments(int count, char** values) {
    cxxopts::Options options("scheduler_load", "Processor time of schedulers under a steady load");
    options.add_options()("workers", "number of simulated workers",
                          cxxopts::value<int>()->default_value("490"))(
        "lasting", "number of long-running tasks, which last the whole run",
        cxxopts::value<int>()->default_value("2000"))("starts", "short tasks per second",
                                                      cxxopts::value<int>()->default_value("400"))(
        "seconds", "length of the measurement",
        cxxopts::value<int>()->default_value("10"))("pids", "print the ids of the processes, for a profiler");
    const auto parsed = options.parse(count, values);
    return {parsed["workers"].as<int>(), parsed["lasting"].as<int>(), parsed["starts"].as<int>(),
            parsed["seconds"].as<int>(), parsed.count("pids") > 0};
}

/// Returns the processor seconds that a process has used.
double read_processor_seconds(pid_t pid) {
    std::ifstream file(absl::StrFormat("/proc/%d/stat", pid));
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    constexpr int user_field = 11; // index after the process name; stime follows utime
    for (int index = 0; index <= user_field + 1 && fields >> field; ++index) {
        ticks += index >= user_field ? std::stod(field) : 0;
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::string make_job(const char* payload, int count, bool is_long_running) {
    nlohmann::json step = {
        {"count", count}, {"cpu", is_long_running ? 2000 : 500}, {"memMb", 100}, {"estimateMs", 900}};
    if (is_long_running) {
        step["longRunning"] = true;
        step["targetMs"] = 50;
        step["image"] = "serving";
    } else {
        step["fills"] = true;
        step["image"] = "filling";
    }
    return nlohmann::json{{"spec", payload}, {"steps", {step}}}.dump();
}

int submit(scheduler_cluster& cluster, int number, const std::string& body) {
    const auto response = cluster.send_caller_request("POST", absl::StrFormat("/jobs/%016x", number), body);
    return response.has_value() ? response->status : 0;
}

/// Returns the processor seconds of all schedulers, ordered by number.
std::vector<double> read_all_processor_seconds(scheduler_cluster& cluster) {
    std::vector<double> seconds_used;
    for (int instance = 1; instance <= schedulers; ++instance) {
        seconds_used.push_back(read_processor_seconds(cluster.get_scheduler(instance).get_pid()));
    }
    return seconds_used;
}

void print_pids(scheduler_cluster& cluster) {
    for (int instance = 1; instance <= schedulers; ++instance) {
        std::cout << "scheduler " << instance << " pid " << cluster.get_scheduler(instance).get_pid()
                  << std::endl; // flushes, because a profiler waits for the line
    }
}

/// Submits short jobs at a fixed rate for `length`, starting with job `number`. Returns the number of the
/// next job.
int submit_steadily(scheduler_cluster& cluster, int number, int starts_per_second, duration length) {
    const system_clock clock;
    const auto interval = duration{seconds{1}} * tasks_per_job / starts_per_second;
    const auto job = make_job("text", tasks_per_job, false);
    const auto end = clock.now() + length;
    for (auto next = clock.now(); next < end; next += interval) {
        const auto wait = next - clock.now();
        if (wait > duration{0}) {
            absl::SleepFor(absl::Nanoseconds(std::chrono::nanoseconds(wait).count()));
        }
        submit(cluster, number++, job);
    }
    return number;
}

void print_usage(scheduler_cluster& cluster, const std::vector<double>& before, std::size_t done,
                 int measured_seconds) {
    const int leader = cluster.find_leader();
    const auto after = read_all_processor_seconds(cluster);
    for (int instance = 1; instance <= schedulers; ++instance) {
        const auto index = static_cast<std::size_t>(instance) - 1;
        const auto used = after[index] - before[index];
        std::cout << absl::StrFormat(
            "scheduler %d%s: %.2f processor seconds, %.1f%% of a core, %.0f us a task\n", instance,
            instance == leader ? " (leads)" : "", used, 100 * used / measured_seconds,
            1e6 * used / static_cast<double>(std::max<std::size_t>(done, 1)));
    }
}

} // namespace

int main(int count, char** values) {
    const auto options = read_arguments(count, values);
    scheduler_cluster cluster(schedulers);
    const stand_in_workers workers(options.workers, cluster.get_control_addresses(), run_time);
    cluster.put_config(1);
    int number = 1;
    for (int started = 0; started < options.long_running_tasks; started += tasks_per_job) {
        submit(cluster, number++, make_job(stand_in_workers::long_running_payload, tasks_per_job, true));
    }
    number = submit_steadily(cluster, number, options.starts_per_second, settle_time);
    if (options.prints_pids) {
        print_pids(cluster);
    }
    const auto before = read_all_processor_seconds(cluster);
    const auto done_before = workers.get_done_counts().size();
    submit_steadily(cluster, number, options.starts_per_second, seconds{options.measured_seconds});
    const auto done = workers.get_done_counts().size() - done_before;
    std::cout << absl::StrFormat("workers=%d lasting=%d ended tasks=%d in %d s, overlapping runs=%d\n",
                                 options.workers, options.long_running_tasks, done, options.measured_seconds,
                                 workers.get_concurrent_start_count());
    print_usage(cluster, before, done, options.measured_seconds);
    return workers.get_concurrent_start_count() == 0 ? 0 : 1;
}
