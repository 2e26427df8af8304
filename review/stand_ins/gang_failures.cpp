// A gang of which several members fail in one run, on workers that fail all that they start for a time: the
// gang has failed once then, and must be started again.
#include "deployment.h"
#include "workers.h"

#include <cstdlib>
#include <iostream>

namespace {

constexpr int worker_count = 36;
constexpr int failing_count = 3;        // a twelfth, below the share 0.085 of `srv_grey`
constexpr int gang_size = 32;           // there is room for it without the workers that fail
constexpr int max_attempts = 3;         // of the queue
constexpr std::int64_t work_ms = 2'000; // of the gang
constexpr int failing_ms = 6'500;       // as long as `srv_grey` lasts
constexpr int start_timeout_ms = 20'000;
constexpr int end_timeout_ms = 40'000;
constexpr int report_wait_ms = 2'500; // two heartbeats: all workers have reported
constexpr int could_not_run = 2;

const std::string job = "00000000000000c1";
const std::string path = "/jobs/" + job;
const std::string first_task = job + ".0.0.0";

std::string get_machine(int number) {
    return "m-" + std::to_string(number);
}

} // namespace

int main(int count, char** words) {
    if (count < 3) {
        std::cerr << "usage: gang_failures FOLDER RECORD\n";
        return could_not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    review::record log(words[2]);
    review::deployment system(words[1], 1, log);
    review::worker_terms terms;
    terms.service = "workers";
    terms.control = system.get_control();
    review::worker_fleet workers(terms, log);
    const int port = review::find_free_port({system.get_ip(101)});
    for (int number = 0; number < worker_count; ++number) {
        workers.add(get_machine(number), {system.get_ip(101 + number), port}, "hall-1",
                    "r1-" + std::to_string(number / 8));
    }
    if (!system.put_config(review::make_config(1, max_attempts), start_timeout_ms) ||
        !system.wait_until_ready(1, start_timeout_ms)) {
        log.add("the deployment did not start");
        return could_not_run;
    }
    review::sleep_ms(report_wait_ms);
    for (int number = 0; has_trouble && number < failing_count; ++number) {
        workers.set_failing(get_machine(number), true);
    }
    const nlohmann::json body = {
        {"spec", "work=" + std::to_string(work_ms) + " gang=" + std::to_string(gang_size)},
        {"steps",
         {{{"count", gang_size},
           {"cpu", 1'000},
           {"memMb", 256},
           {"estimateMs", work_ms},
           {"gang", true},
           {"antiAffinity", 1}}}}};
    const int status = system.send(1, "POST", path, body.dump());
    log.add("client: POST " + path + " " + body.dump() + " -> " + std::to_string(status));
    if (status != 200) {
        return could_not_run;
    }
    std::string state;
    const auto has_ended = [&] {
        state = system.get_state(path);
        return state == "failed" || state == "completed";
    };
    review::wait_until(failing_ms, has_ended);
    for (int number = 0; has_trouble && number < failing_count; ++number) {
        workers.set_failing(get_machine(number), false);
    }
    review::wait_until(end_timeout_ms, has_ended);
    const auto runs = workers.get_starts(first_task);
    log.add("client: the job is shown as \"" + state +
            "\"; runs of the gang: " + std::to_string(runs.empty() ? 0 : runs.back()) +
            ", maxAttempts: " + std::to_string(max_attempts));
    const bool has_runs_left = runs.empty() || runs.back() < static_cast<std::uint32_t>(max_attempts);
    if (state == "failed" && has_runs_left) {
        log.add(
            "LOST is broken: the job is shown as failed, though neither its gang nor one of its tasks has "
            "failed maxAttempts times");
        return 1;
    }
    if (state != "completed") {
        log.add("the job has not ended in time, or the gang has failed maxAttempts times");
        return could_not_run;
    }
    return 0;
}
