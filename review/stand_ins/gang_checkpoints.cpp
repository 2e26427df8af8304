// A gang whose tasks checkpoint, and of which one worker leaves: all members of its next run must carry the
// same checkpoint.
#include "deployment.h"
#include "workers.h"

#include <cstdlib>
#include <iostream>
#include <set>

namespace {

constexpr int worker_count = 16; // one of them is 0.0625, below the share 0.065 of `scale_in`
constexpr int gang_size = 4;
constexpr std::int64_t work_ms = 9'000; // of the gang
constexpr int drain_after_ms = 3'300;   // after the gang has begun to work; three checkpoints were made
constexpr int start_timeout_ms = 20'000;
constexpr int end_timeout_ms = 40'000;
constexpr int report_wait_ms = 2'500; // two heartbeats: all workers have reported
constexpr int could_not_run = 2;

const std::string job = "00000000000000b1";
const std::string path = "/jobs/" + job;
const std::string step = job + ".0.0";

std::string get_task(int index) {
    return step + "." + std::to_string(index);
}

} // namespace

int main(int count, char** words) {
    if (count < 3) {
        std::cerr << "usage: gang_checkpoints FOLDER RECORD\n";
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
        workers.add("m-" + std::to_string(number), {system.get_ip(101 + number), port}, "hall-1",
                    "r1-" + std::to_string(number / 4));
    }
    if (!system.put_config(review::make_config(1, 3), start_timeout_ms) ||
        !system.wait_until_ready(1, start_timeout_ms)) {
        log.add("the deployment did not start");
        return could_not_run;
    }
    review::sleep_ms(report_wait_ms);
    const nlohmann::json body = {
        {"spec", "work=" + std::to_string(work_ms) + " gang=" + std::to_string(gang_size) + " saves"},
        {"steps",
         {{{"count", gang_size},
           {"cpu", 1'000},
           {"memMb", 256},
           {"estimateMs", work_ms},
           {"gang", true},
           {"checkpointing", true},
           {"antiAffinity", 1}}}}};
    const int status = system.send(1, "POST", path, body.dump());
    log.add("client: POST " + path + " " + body.dump() + " -> " + std::to_string(status));
    if (status != 200) {
        return could_not_run;
    }
    if (has_trouble) {
        const bool is_at_work = review::wait_until(
            start_timeout_ms, [&] { return workers.get_working_ms(get_task(0)) >= drain_after_ms; });
        const auto machine = workers.find_machine_of(get_task(0));
        if (!is_at_work || machine.empty()) {
            log.add("the gang has not begun to work");
            return could_not_run;
        }
        workers.drain(machine);
    }
    const bool is_done =
        review::wait_until(end_timeout_ms, [&] { return system.get_state(path) == "completed"; });
    log.add(std::string("client: the job is shown as \"") + system.get_state(path) + "\"");
    bool is_broken = false;
    for (const auto run : workers.get_starts(get_task(0))) {
        const auto carried = workers.get_checkpoints(step, run);
        std::set<std::string> values;
        std::string line = "run " + std::to_string(run) + " of the gang:";
        for (const auto& [task, checkpoint] : carried) {
            values.insert(checkpoint);
            line.append(" ").append(task).append("=\"").append(checkpoint).append("\"");
        }
        log.add(line);
        is_broken = is_broken || values.size() > 1;
    }
    if (is_broken) {
        log.add("UNASKED is broken: members of one run of the gang were told to start with different "
                "checkpoints; all must carry the same value");
        return 1;
    }
    if (!is_done) {
        log.add("the job has not ended in time");
        return could_not_run;
    }
    return 0;
}
