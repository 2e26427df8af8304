// Load tool: sends requests and jobs to entries (or to any other HTTP server), prints a table, and checks the
// workers' records against the promises to callers.
#include "performance_test/load_runner.h"
#include "poplarpitch/core/process_settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cxxopts.hpp>

#include <iostream>

namespace poplarpitch {
namespace {

constexpr int usage_code = 2;

std::vector<std::string> split(const std::string& text) {
    return absl::StrSplit(text, ',', absl::SkipEmpty());
}

std::vector<load_service> read_services(const std::string& text) {
    std::vector<load_service> services;
    for (const auto& item : split(text)) {
        const std::vector<std::string> parts = absl::StrSplit(item, ':');
        load_service service;
        service.name = parts[0];
        if (parts.size() > 1) {
            static_cast<void>(absl::SimpleAtod(parts[1], &service.share));
        }
        service.is_idempotent = parts.size() > 2 && parts[2] == "idempotent";
        services.push_back(service);
    }
    return services;
}

std::vector<double> read_rates(const std::string& text) {
    std::vector<double> rates;
    for (const auto& item : split(text)) {
        double rate = 0;
        if (absl::SimpleAtod(item, &rate) && rate > 0) {
            rates.push_back(rate);
        }
    }
    return rates;
}

cxxopts::Options make_options() {
    cxxopts::Options options("load_test", "Sends load to entries and checks what was promised to callers.");
    const auto text = [](const char* value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    options.add_options()("entries", "host:port, comma-separated", text("127.0.0.1:8080"))(
        "services", "name:share[:idempotent], comma-separated", text("fast:1:idempotent"))(
        "tenants", "comma-separated", text(""))("batches", "job classes, comma-separated", text(""))(
        "jobs", "jobs to submit", text("0"))("job-waves", "number of bursts; 0 spreads the jobs evenly",
                                             text("0"))("cancel-share", "share of each burst to cancel",
                                                        text("0"))("payload", "of each job",
                                                                   text(""))("callers", "threads", text("8"))(
        "rate", "requests per second, one or several in turn, comma-separated; 0 unbounded", text("0"))(
        "resends", "number of immediate retries when told not-run", text("0"))("seconds", "", text("5"))(
        "body", "bytes", text("512"))("prefix", "path before the service", text("/v1/call/"))(
        "records", "workers' record files, comma-separated",
        text(""))("killed", "ids of workers that were killed on purpose, comma-separated",
                  text(""))("run", "id of this run", text("run"))("job-wait", "seconds to wait for jobs",
                                                                  text("60"))("help", "print this help");
    return options;
}

load_plan read_plan(const cxxopts::ParseResult& parsed) {
    const auto get = [&](const char* key) {
        return parsed[key].as<std::string>();
    };
    load_plan plan;
    plan.entries = split(get("entries"));
    plan.services = read_services(get("services"));
    plan.tenants = split(get("tenants"));
    plan.batches = split(get("batches"));
    plan.jobs = plan.batches.empty() ? 0 : std::stoi(get("jobs"));
    plan.job_waves = std::stoi(get("job-waves"));
    plan.cancel_share = std::stod(get("cancel-share"));
    plan.payload = get("payload");
    plan.callers = std::stoi(get("callers"));
    plan.rates = read_rates(get("rate"));
    plan.resends = std::stoi(get("resends"));
    plan.seconds = std::stod(get("seconds"));
    plan.body = static_cast<std::size_t>(std::stoul(get("body")));
    plan.path_prefix = get("prefix");
    plan.run_id = get("run");
    plan.is_checked = !get("records").empty();
    return plan;
}

} // namespace
} // namespace poplarpitch

int main(int count, char** arguments) {
    using namespace poplarpitch;
    auto options = make_options();
    disable_deadlock_detection();
    try {
        const auto parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        load_runner runner(read_plan(parsed));
        runner.run();
        runner.wait_for_jobs(seconds{std::stoi(parsed["job-wait"].as<std::string>())});
        const auto killed = split(parsed["killed"].as<std::string>());
        return runner.report(split(parsed["records"].as<std::string>()), {killed.begin(), killed.end()});
    } catch (const std::exception& error) {
        std::cerr << "load_test: " << error.what() << "; see --help\n";
        return usage_code;
    }
}
