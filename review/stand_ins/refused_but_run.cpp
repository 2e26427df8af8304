// The leader is killed right after it has acknowledged a change of the configuration that drops a queue,
// while clients hand jobs in to that queue: a job that was refused must not run.
#include "deployment.h"
#include "workers.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <set>

namespace {

constexpr int worker_count = 8;
constexpr int client_count = 4;  // each hands in one job after the other
constexpr int rounds = 12;       // the leader is killed once in each
constexpr int pressing_ms = 300; // clients press for this long before the change
constexpr int down_ms = 1'000;   // until the platform has started the killed process again
constexpr int start_timeout_ms = 20'000;
constexpr int report_wait_ms = 2'500; // two heartbeats: all workers have reported
constexpr int could_not_run = 2;

std::string get_job(int number) {
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%016x", 0xd00000 + number);
    return digits;
}

/// Jobs that clients have handed in, each with one attempt.
struct attempts {
    std::mutex mutex;
    std::map<std::string, int> answers; ///< status by job; 0 for none
    int next = 0;
};

void press(review::deployment& system, attempts& sent, const std::atomic<bool>& is_over,
           review::record& log) {
    const nlohmann::json body = {
        {"spec", "work=100"}, {"steps", {{{"count", 1}, {"cpu", 100}, {"memMb", 16}, {"estimateMs", 100}}}}};
    while (!is_over) {
        std::string job;
        {
            const std::lock_guard lock(sent.mutex);
            job = get_job(sent.next++);
        }
        const int status = system.send(1, "POST", "/drop/" + job, body.dump());
        log.add("client: POST /drop/" + job + " -> " + std::to_string(status));
        const std::lock_guard lock(sent.mutex);
        sent.answers[job] = status;
    }
}

/// Returns the jobs that were refused and run nevertheless.
std::vector<std::string> find_refused_that_ran(attempts& sent, review::worker_fleet& workers) {
    const std::lock_guard lock(sent.mutex);
    std::vector<std::string> found;
    for (const auto& [job, status] : sent.answers) {
        const bool is_refused = status == 404 || status == 429 || status == 503;
        if (is_refused && !workers.get_starts(job + ".0.0.0").empty()) {
            found.push_back(job + " (answer " + std::to_string(status) + ")");
        }
    }
    return found;
}

} // namespace

int main(int count, char** words) {
    if (count < 3) {
        std::cerr << "usage: refused_but_run FOLDER RECORD\n";
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
    attempts sent;
    int version = 0;
    for (int round = 1; round <= rounds; ++round) {
        const std::vector<std::string> both = {"/jobs/", "/drop/"};
        if (!system.put_config(review::make_config(++version, 3, both), start_timeout_ms) ||
            !system.wait_until_ready(1, start_timeout_ms)) {
            log.add("the deployment did not start");
            return could_not_run;
        }
        review::sleep_ms(report_wait_ms);
        std::atomic<bool> is_over{false};
        std::vector<std::thread> clients;
        clients.reserve(client_count);
        for (int number = 0; number < client_count; ++number) {
            clients.emplace_back([&] { press(system, sent, is_over, log); });
        }
        review::sleep_ms(pressing_ms);
        const int leader = system.find_leader();
        if (leader == 0) {
            log.add("nobody leads");
        }
        const bool is_put =
            system.put_config(review::make_config(++version, 3), start_timeout_ms, std::max(leader, 1));
        if (has_trouble && is_put && leader != 0) {
            system.signal_scheduler(leader, SIGKILL);
        }
        is_over = true;
        review::sleep_ms(down_ms);
        if (has_trouble && is_put && leader != 0) {
            system.start_scheduler_again(leader);
        }
        for (auto& client : clients) {
            client.join();
        }
        review::sleep_ms(1'000); // what was accepted is started
        const auto found = find_refused_that_ran(sent, workers);
        for (const auto& job : found) {
            log.add("refused and run: " + job);
        }
        if (!found.empty()) {
            log.add("REFUSED is broken: tasks were started of jobs of which the only attempt was refused");
            return 1;
        }
    }
    return 0;
}
