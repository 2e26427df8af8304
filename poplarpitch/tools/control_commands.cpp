#include "poplarpitch/tools/control_commands.h"

#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/core/text_file.h"
#include "poplarpitch/tools/log_explainer.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <utility>

namespace poplarpitch {
namespace {

using json = nlohmann::json;
constexpr duration poll_interval = milliseconds{100};
constexpr duration top_interval = seconds{1};

command_exit fail_usage(const std::string& message) {
    std::cerr << "poplarctl: " << message << "; see --help\n";
    return command_exit::usage;
}

/// Prints why a request failed and returns the exit code. Precondition: the exchange did not end with a 2xx
/// status.
command_exit report_failure(const http_exchange& exchange) {
    if (exchange.progress == exchange_progress::not_sent) {
        std::cerr << "poplarctl: no entry could be reached\n";
        return command_exit::unreachable;
    }
    if (exchange.progress == exchange_progress::maybe_sent) {
        std::cerr << "poplarctl: no answer; it is not known what happened. Retry with the same id\n";
        return command_exit::unknown;
    }
    const auto body = json::parse(exchange.response.body, nullptr, false);
    if (body.is_object() && body.contains("errors")) {
        for (const auto& error : body["errors"]) {
            std::cerr << "config:" << error.value("line", 0) << ": " << error.value("message", "") << "\n";
        }
    } else if (body.is_object() && body.contains("error")) {
        std::cerr << "poplarctl: " << body["error"].value("code", "") << ": "
                  << body["error"].value("message", "") << "\n";
    } else {
        std::cerr << "poplarctl: status " << exchange.response.status << "\n";
    }
    return exchange.response.status == 504 ? command_exit::unknown : command_exit::refused;
}

bool is_success(const http_exchange& exchange) {
    return exchange.progress == exchange_progress::answered && exchange.response.status / 100 == 2;
}

http_request make_request(const std::string& method, const std::string& target,
                          const std::string& body = "") {
    http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers.add("Content-Type", "application/json");
    return request;
}

/// Sends a request and prints the body of the answer: formatted by `print`, or unchanged when `print` is
/// null, when JSON output is wanted or when the body is not JSON.
command_exit send_and_print(operator_client& client, const http_request& request,
                            const command_options& options,
                            const std::function<void(const json&)>& print = nullptr) {
    const auto exchange = client.send(request);
    if (!is_success(exchange)) {
        return report_failure(exchange);
    }
    const auto body = json::parse(exchange.response.body, nullptr, false);
    if (options.is_json || print == nullptr || body.is_discarded()) {
        std::cout << exchange.response.body;
    } else {
        print(body);
    }
    return command_exit::success;
}

// ---- configuration

/// Reads and checks a configuration. Prints what is wrong with it and returns nothing when it has errors.
std::optional<std::string> read_config(const std::string& file) {
    auto text = read_text_file(file);
    if (!text.has_value()) {
        static_cast<void>(fail_usage("cannot read " + file));
        return std::nullopt;
    }
    const auto parsed = parse_configuration(*text);
    for (const auto& error : parsed.errors) {
        std::cerr << error.format(file) << "\n";
    }
    return parsed.errors.empty() ? std::move(text) : std::nullopt;
}

command_exit wait_until_in_force(operator_client& client, std::uint64_t version,
                                 const command_options& options) {
    const system_clock clock;
    const auto end = clock.now() + options.timeout;
    while (clock.now() < end) {
        const auto exchange = client.send(make_request("GET", "/v1/status"));
        if (is_success(exchange)) {
            const auto body = json::parse(exchange.response.body, nullptr, false);
            const auto in_force = body.value("control", json::object()).value("in_force", json::object());
            std::size_t behind = 0;
            for (const auto& item : in_force.items()) {
                behind += item.value().get<std::uint64_t>() < version ? 1 : 0;
            }
            if (!in_force.empty() && behind == 0) {
                std::cerr << "version " << version << " is in force on " << in_force.size() << " entries\n";
                return command_exit::success;
            }
            std::cerr << "waiting: " << behind << " of " << in_force.size() << " entries are behind\n";
        }
        absl::SleepFor(absl::Nanoseconds(poll_interval.count()));
    }
    return command_exit::timed_out;
}

command_exit apply_config(operator_client& client, const std::string& file, const command_options& options) {
    const auto text = read_config(file); // once, because standard input cannot be read again
    if (!text.has_value()) {
        return command_exit::usage;
    }
    auto base = options.base;
    if (base.empty()) {
        const auto current = client.send(make_request("GET", "/v1/config"));
        if (!is_success(current)) {
            return report_failure(current);
        }
        base = current.response.headers.get("ETag");
    }
    auto request = make_request("PUT", "/v1/config", *text);
    request.headers.add("If-Match", base);
    if (!options.change_id.empty()) {
        request.headers.add("Poplarpitch-Change-Id", options.change_id);
    }
    request.headers.add("Poplarpitch-Author", options.author);
    const auto exchange = client.send(request);
    if (!is_success(exchange)) {
        return report_failure(exchange);
    }
    std::cout << exchange.response.body;
    const auto version = json::parse(exchange.response.body).value("version", std::uint64_t{0});
    return options.is_waiting ? wait_until_in_force(client, version, options) : command_exit::success;
}

command_exit run_config(operator_client& client, const std::vector<std::string>& arguments,
                        const command_options& options) {
    const auto verb = arguments.size() > 1 ? arguments[1] : "";
    if (verb == "check" && arguments.size() == 3) {
        return read_config(arguments[2]).has_value() ? command_exit::success : command_exit::usage;
    }
    if (verb == "apply" && arguments.size() == 3) {
        return apply_config(client, arguments[2], options);
    }
    if (verb == "get") {
        const auto version = arguments.size() > 2 ? "?version=" + arguments[2] : "";
        return send_and_print(client, make_request("GET", "/v1/config" + version), options);
    }
    if (verb == "history") {
        return send_and_print(
            client, make_request("GET", "/v1/config/history"), options, [](const json& body) {
                for (const auto& version : body["versions"]) {
                    std::cout << absl::StreamFormat(
                        "%6d  %-20s %-12s %d\n", version.value("version", 0), version.value("change_id", ""),
                        version.value("author", ""), version.value("at_ms", std::int64_t{0}));
                }
            });
    }
    return fail_usage("config check FILE | apply FILE | get [VERSION] | history");
}

// ---- jobs

void print_job_line(const json& job) {
    std::cout << absl::StreamFormat(
        "%-24s %-16s %-14s %-16s attempt=%d evictions=%d %s %s\n", job.value("id", ""),
        job.value("tenant", ""), job.value("batch", ""), job.value("state", ""), job.value("attempt", 0),
        job.value("evictions", 0), job.value("worker", ""), job.value("reason", ""));
}

bool is_terminal_state(const std::string& state) {
    return state != "queued" && state != "assigned" && state != "running";
}

command_exit wait_for_job(operator_client& client, const std::string& id, const command_options& options) {
    const system_clock clock;
    const auto end = clock.now() + options.timeout;
    std::string last;
    while (clock.now() < end) {
        const auto exchange = client.send(make_request("GET", "/v1/jobs/" + id));
        if (is_success(exchange)) {
            const auto job = json::parse(exchange.response.body, nullptr, false);
            const auto state = job.value("state", "");
            if (state != last) {
                std::cerr << id << ": " << state << "\n";
                last = state;
            }
            if (is_terminal_state(state)) {
                print_job_line(job);
                return state == "done" ? command_exit::success : command_exit::refused;
            }
        }
        absl::SleepFor(absl::Nanoseconds(poll_interval.count()));
    }
    return command_exit::timed_out;
}

/// Sends a request about many jobs and prints a line for each job. Returns `refused` when the system refused
/// one of them.
command_exit send_job_batch(operator_client& client, const http_request& request,
                            const command_options& options) {
    bool is_any_refused = false;
    const auto exit_code = send_and_print(client, request, options, [&](const json& body) {
        for (const auto& job : body.value("jobs", json::array())) {
            const auto error = job.value("error", json::object());
            is_any_refused = is_any_refused || !error.empty();
            std::cout << absl::StreamFormat("%-24s %-16s %s\n", job.value("id", ""),
                                            job.value("state", "refused"), error.value("message", ""));
        }
    });
    return exit_code == command_exit::success && is_any_refused ? command_exit::refused : exit_code;
}

command_exit run_job(operator_client& client, const std::vector<std::string>& arguments,
                     const command_options& options) {
    const auto verb = arguments.size() > 1 ? arguments[1] : "";
    const auto argument = arguments.size() > 2 ? arguments[2] : "";
    if (verb == "submit" && !argument.empty()) {
        const auto text = absl::StartsWith(argument, "{") ? argument : read_text_file(argument).value_or("");
        const auto body = json::parse(text, nullptr, false);
        if (body.is_object() && body.contains("jobs")) {
            return send_job_batch(client, make_request("POST", "/v1/jobs/submit", text), options);
        }
        const auto exit_code =
            send_and_print(client, make_request("POST", "/v1/jobs", text), options, print_job_line);
        if (exit_code != command_exit::success || !options.is_waiting) {
            return exit_code;
        }
        return wait_for_job(client, json::parse(text).value("id", ""), options);
    }
    if (verb == "get" && !argument.empty()) {
        return send_and_print(client, make_request("GET", "/v1/jobs/" + argument), options, print_job_line);
    }
    if (verb == "list") {
        const auto query = absl::StrCat("?tenant=", options.tenant, "&state=", options.state);
        return send_and_print(client, make_request("GET", "/v1/jobs" + query), options, [](const json& body) {
            for (const auto& job : body["jobs"]) {
                print_job_line(job);
            }
        });
    }
    if (verb == "cancel" && arguments.size() > 3) {
        const json body = {{"ids", std::vector<std::string>(arguments.begin() + 2, arguments.end())}};
        return send_job_batch(client, make_request("POST", "/v1/jobs/cancel", body.dump()), options);
    }
    if (verb == "cancel" && !argument.empty()) {
        return send_and_print(client, make_request("DELETE", "/v1/jobs/" + argument), options,
                              print_job_line);
    }
    if (verb == "resolve" && arguments.size() == 4) {
        return send_and_print(
            client,
            make_request("POST", absl::StrCat("/v1/jobs/", argument, "/resolve?action=", arguments[3])),
            options, print_job_line);
    }
    return fail_usage("job submit JSON|FILE | get ID | list | cancel ID... | resolve ID rerun|done|failed");
}

// ---- system

void print_status(const json& body) {
    std::cout << "entry " << body.value("entry", "") << ": config " << body.value("config_version_here", 0)
              << ", " << body.value("ready_workers", 0) << " of " << body.value("owned_workers", 0)
              << " owned workers ready, " << body.value("waiting_requests", 0) << " requests waiting, "
              << body.value("tasks_here", 0) << " tasks\n";
    const auto control = body.value("control", json::object());
    if (control.contains("error")) {
        std::cout << "control: " << control.value("error", "") << "\n";
        return;
    }
    std::cout << "control: leader " << control.value("leader", 0) << " term " << control.value("term", 0)
              << " commit " << control.value("commit", 0) << ", config " << control.value("config_version", 0)
              << ", " << control.value("entries", 0) << " entries, " << control.value("workers", 0)
              << " workers, jobs queued " << control.value("jobs_queued", 0) << " active "
              << control.value("jobs_active", 0) << " ended " << control.value("jobs_ended", 0) << ", keys "
              << control.value("keys", 0) << "\n";
}

void print_workers(const json& body) {
    for (const auto& worker : body.value("workers", json::array())) {
        std::cout << absl::StreamFormat(
            "%-16s %-10s %-8s owner=%-10s epoch=%d%s %s\n", worker.value("id", ""),
            worker.value("data_centre", ""), worker.value("rack", ""), worker.value("owner", ""),
            worker.value("epoch", 0), worker.value("silent", false) ? " silent" : "",
            worker.value("address", ""));
    }
}

command_exit run_top(operator_client& client, const command_options& options) {
    constexpr int forever = 1'000'000;
    const int rounds = options.is_waiting ? 1 : forever;
    for (int round = 0; round < rounds; ++round) {
        if (rounds > 1) {
            std::cout << "\x1b[H\x1b[2J";
        }
        const auto status = send_and_print(client, make_request("GET", "/v1/status"), options, print_status);
        if (status != command_exit::success) {
            return status;
        }
        std::cout << "\n";
        const auto workers =
            send_and_print(client, make_request("GET", "/v1/workers"), options, [](const json& body) {
                std::cout << "workers owned by " << body.value("entry", "") << ":\n";
                for (const auto& worker : body.value("owned_here", json::array())) {
                    std::cout << absl::StreamFormat(
                        "%-16s %-12s %-11s requests=%-3d tasks=%-3d free slots=%d cores=%.1f slowdown=%.2f\n",
                        worker.value("id", ""), worker.value("ready", false) ? "ready" : "not ready",
                        worker.value("trust", ""), worker.value("outstanding", 0), worker.value("tasks", 0),
                        worker.value("free_slots", 0), worker.value("free_millicores", 0) / 1000.0,
                        worker.value("slowdown", 1.0));
                }
            });
        if (workers != command_exit::success) {
            return workers;
        }
        std::cout << std::flush;
        if (rounds > 1) {
            absl::SleepFor(absl::Nanoseconds(top_interval.count()));
        }
    }
    return command_exit::success;
}

command_exit run_members(operator_client& client, const std::vector<std::string>& arguments,
                         const command_options& options) {
    if (arguments.size() == 1) {
        return send_and_print(client, make_request("GET", "/v1/members"), options, [](const json& body) {
            std::cout << "control: " << body["control"].dump() << "\n";
            for (const auto& entry : body["entries"]) {
                std::cout << absl::StreamFormat("%-16s %-10s %-22s%s\n", entry.value("entry", ""),
                                                entry.value("data_centre", ""), entry.value("address", ""),
                                                entry.value("draining", false) ? " draining" : "");
            }
        });
    }
    if (arguments.size() == 3) {
        return send_and_print(
            client, make_request("POST", absl::StrCat("/v1/members/", arguments[2], "/", arguments[1])),
            options);
    }
    return fail_usage("members | members add|promote|remove|drain|lead NUMBER | members drain|resume ENTRY");
}

command_exit save_snapshot(operator_client& client, const std::string& file) {
    const auto exchange = client.send(make_request("GET", "/v1/snapshot"));
    if (!is_success(exchange)) {
        return report_failure(exchange);
    }
    std::ofstream target(file, std::ios::binary);
    target << exchange.response.body;
    target.close();
    if (!target) {
        return fail_usage("cannot write " + file);
    }
    std::cout << exchange.response.body.size() << " bytes written to " << file << "\n";
    return command_exit::success;
}

command_exit inspect_snapshot(const std::string& file) {
    const auto bytes = read_text_file(file);
    wire::state_snapshot snapshot;
    if (!bytes.has_value() || !snapshot.ParseFromString(*bytes)) {
        return fail_usage(file + " is no valid snapshot");
    }
    const auto version =
        snapshot.history_size() == 0 ? 0 : snapshot.history(snapshot.history_size() - 1).version();
    std::cout << "applied index " << snapshot.applied_index() << ", configuration version " << version << ", "
              << snapshot.sessions_size() << " entries, " << snapshot.workers_size() << " workers, "
              << snapshot.jobs_size() << " jobs, " << snapshot.intents_size() << " keys\n";
    return command_exit::success;
}

/// Runs `explain ID LOG...`: prints what the logs record about a job, request or worker.
command_exit explain(const std::vector<std::string>& arguments) {
    std::vector<std::string> texts;
    for (std::size_t index = 2; index < arguments.size(); ++index) {
        auto text = read_text_file(arguments[index]);
        if (!text.has_value()) {
            return fail_usage(arguments[index] + " cannot be read");
        }
        texts.push_back(std::move(*text));
    }
    const auto explanation = explain_id(arguments[1], texts);
    for (const auto& line : explanation.lines) {
        std::cout << line << "\n";
    }
    if (explanation.lines.empty()) {
        std::cerr << "no line names " << arguments[1] << "\n";
        return command_exit::refused;
    }
    std::cout << "\n";
    for (const auto& line : explanation.history.runs) {
        std::cout << line << "\n";
    }
    for (const auto& line : explanation.history.attempts) {
        std::cout << "attempt: " << line << "\n";
    }
    for (const auto& line : explanation.history.overlaps) {
        std::cout << "OVERLAP: " << line << "\n";
    }
    std::cout << "decided by: " << (explanation.cause.empty() ? "nothing that went wrong" : explanation.cause)
              << "\n";
    return command_exit::success;
}

} // namespace

command_exit run_command(operator_client& client, const std::vector<std::string>& arguments,
                         const command_options& options) {
    const auto command = arguments.empty() ? "" : arguments[0];
    if (command == "config") {
        return run_config(client, arguments, options);
    }
    if (command == "job") {
        return run_job(client, arguments, options);
    }
    if (command == "status") {
        return send_and_print(client, make_request("GET", "/v1/status"), options, print_status);
    }
    if (command == "workers") {
        return send_and_print(client, make_request("GET", "/v1/workers"), options, print_workers);
    }
    if (command == "members") {
        return run_members(client, arguments, options);
    }
    if (command == "top") {
        return run_top(client, options);
    }
    if (command == "explain" && arguments.size() >= 3) {
        return explain(arguments);
    }
    if (command == "snapshot" && arguments.size() == 3) {
        return arguments[1] == "save" ? save_snapshot(client, arguments[2]) : inspect_snapshot(arguments[2]);
    }
    return fail_usage("unknown command '" + command + "'");
}

} // namespace poplarpitch
