#include "unit_tests/platform/scheduler_cluster.h"

#include "poplarpitch/core/system_clock.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace poplarpitch {
namespace {

constexpr duration call_timeout = seconds{2};
constexpr duration poll_interval = milliseconds{20};
constexpr duration log_poll_interval = milliseconds{1};

std::string make_folder() {
    static std::atomic<int> next{0};
    const auto name = absl::StrCat("poplarpitch-scheduler-", ::getpid(), "-", next.fetch_add(1));
    const auto folder = std::filesystem::temp_directory_path() / name;
    std::filesystem::create_directories(folder);
    return folder.string();
}

/// Returns the path of a program of this build, or in the folder that POPLARPITCH_PROGRAMS names.
std::string get_program(const std::string& name) {
    const char* override_folder = std::getenv("POPLARPITCH_PROGRAMS");
    return absl::StrCat(override_folder == nullptr ? POPLARPITCH_BIN : override_folder, "/", name);
}

/// Polls `is_done` until it returns true or `limit` has passed. Returns false at the limit, so that a failing
/// test ends.
template <class Condition>
bool wait_until(duration limit, Condition is_done, duration interval = poll_interval) {
    const system_clock clock;
    const auto end = clock.now() + limit;
    while (clock.now() < end) {
        if (is_done()) {
            return true;
        }
        absl::SleepFor(absl::Nanoseconds(interval.count()));
    }
    return false;
}

/// Returns a configuration with one queue at each of `prefixes`.
nlohmann::json make_config(std::uint64_t version, int max_attempts,
                           const std::vector<std::string>& prefixes) {
    auto routes = nlohmann::json::array();
    for (const auto& prefix : prefixes) {
        routes.push_back({{"name", "queue of " + prefix},
                          {"host", "mill.example"},
                          {"pathPrefix", prefix},
                          {"timeoutMs", 3000},
                          {"targetLatencyMs", 1000},
                          {"service", "mill"},
                          {"maxAttempts", max_attempts},
                          {"stretch", 2.0}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "mill"}, {"enforcesCapacity", true}}}}};
}

} // namespace

scheduler_cluster::scheduler_cluster(int schedulers, std::string workers_settings,
                                     std::vector<std::string> data_centres, int gateways, int voters)
    : m_folder(make_folder()), m_count(schedulers), m_voters(voters == 0 ? schedulers : voters),
      m_workers_settings(std::move(workers_settings)), m_data_centres(std::move(data_centres)),
      m_pool(http_client_settings{}) {
    for (int number = 1; number <= schedulers; ++number) {
        start_scheduler(number, true);
    }
    for (int number = 1; number <= gateways; ++number) {
        start_gateway(number);
    }
}

scheduler_cluster::~scheduler_cluster() {
    m_gateways.clear();
    m_schedulers.clear();
    if (testing::Test::HasFailure() || std::getenv("POPLARPITCH_KEEP_LOGS") != nullptr) {
        std::cerr << "logs are kept in " << m_folder << "\n";
        return;
    }
    std::error_code ignored; // a folder that could not be removed does no harm
    std::filesystem::remove_all(m_folder, ignored);
}

std::string scheduler_cluster::get_host(int number) {
    return absl::StrCat("127.0.0.", 10 + number);
}

std::string scheduler_cluster::get_gateway_host(int number) {
    return absl::StrCat("127.0.0.", number);
}

std::string scheduler_cluster::get_data_centre(int number) const {
    return m_data_centres.empty() ? "default" : m_data_centres.at(static_cast<std::size_t>(number) - 1);
}

std::vector<std::string> scheduler_cluster::get_control_addresses() const {
    std::vector<std::string> control_addresses;
    for (int number = 1; number <= m_count; ++number) {
        control_addresses.push_back(absl::StrCat(get_host(number), ":", m_control_port.get_port()));
    }
    return control_addresses;
}

void scheduler_cluster::start_scheduler(int number, bool may_found) {
    const auto control_addresses = get_control_addresses();
    const auto seeds =
        std::vector<std::string>(control_addresses.begin(), control_addresses.begin() + std::min(m_count, 3));
    const auto name = absl::StrCat("scheduler-", number);
    const auto file = absl::StrCat(m_folder, "/", name, ".ini");
    std::ofstream(file) << "[instance]\nid = " << name << "\ndata_centre = " << get_data_centre(number)
                        << "\nhost = " << get_host(number) << "\nlink_port = " << m_link_port.get_port()
                        << "\nseeds = " << absl::StrJoin(seeds, ",")
                        << "\nmetrics_port = " << m_metrics_port.get_port()
                        << "\n[control]\nlisten = " << control_addresses[static_cast<std::size_t>(number) - 1]
                        << "\ndata_folder = " << m_folder << "/data-" << number
                        << "\nmay_found = " << (may_found ? "true" : "false")
                        << "\ntolerated_losses = " << (m_voters - 1) / 2 << "\n[workers]\n"
                        << (m_workers_settings.starts_with("lease = ") ? "" : "lease = 2s\n")
                        << m_workers_settings;
    m_schedulers[number] = std::make_unique<child_process>(
        std::vector<std::string>{get_program("poplarpitch-scheduler"), "--settings", file},
        absl::StrCat(m_folder, "/", name, ".log"));
}

void scheduler_cluster::start_gateway(int number) {
    const auto name = number == 1 ? std::string("gateway") : absl::StrCat("gateway-", number);
    const auto host = get_gateway_host(number);
    const auto file = absl::StrCat(m_folder, "/", name, ".ini");
    std::ofstream(file) << "[instance]\nid = " << name << "\nlink_port = " << m_link_port.get_port()
                        << "\nseeds = " << absl::StrJoin(get_control_addresses(), ",")
                        << "\nmetrics_port = " << m_metrics_port.get_port() << "\n[entry]\nlisten = " << host
                        << ":" << m_caller_port.get_port() << "\nready = " << host << ":"
                        << m_readiness_port.get_port() << "\ndrain_wait = 100ms\n";
    m_gateways[number] = std::make_unique<child_process>(
        std::vector<std::string>{get_program("poplarpitch-gateway"), "--settings", file},
        absl::StrCat(m_folder, "/", name, ".log"));
}

void scheduler_cluster::crash_all() {
    for (const auto& [number, process] : m_schedulers) {
        process->send(SIGKILL);
    }
    for (const auto& [number, process] : m_gateways) {
        process->send(SIGKILL);
    }
    for (const auto& [number, process] : m_gateways) {
        process->kill();
    }
    for (const auto& [number, process] : m_schedulers) {
        process->kill();
        m_log_sizes_at_crash[number] = process->read_log().size();
    }
}

bool scheduler_cluster::have_rejoined(const std::vector<int>& wiped) const {
    if (wiped.empty()) {
        return did_all_vote_after("event=");
    }
    return std::all_of(wiped.begin(), wiped.end(),
                       [&](int number) { return did_all_vote_after("action=promote", get_host(number)); });
}

bool scheduler_cluster::did_all_vote_after(const std::string& log_text, const std::string& host) const {
    const auto address = absl::StrCat("address=", host, " outcome=proposed");
    const auto all_vote_line = absl::StrCat("event=membership_changed voters=", m_count, " learners=0");
    return std::any_of(m_schedulers.begin(), m_schedulers.end(), [&](const auto& item) {
        const auto log = item.second->read_log();
        const auto crash_offset = m_log_sizes_at_crash.find(item.first);
        std::istringstream lines(
            log.substr(crash_offset == m_log_sizes_at_crash.end() ? 0 : crash_offset->second));
        bool is_after = false;
        bool do_all_vote = false;
        for (std::string line; std::getline(lines, line);) {
            const bool is_match = line.find(log_text) != std::string::npos;
            is_after = is_after || (is_match && (host.empty() || line.find(address) != std::string::npos));
            do_all_vote = do_all_vote || (is_after && line.find(all_vote_line) != std::string::npos);
        }
        return do_all_vote;
    });
}

void scheduler_cluster::delete_data(int number) const {
    std::filesystem::remove_all(absl::StrCat(m_folder, "/data-", number));
}

std::optional<http_response> scheduler_cluster::send(const std::string& address, const std::string& method,
                                                     const std::string& path, const std::string& body) {
    http_request request;
    request.method = method;
    request.target = path;
    request.headers.add("Host", "mill.example");
    request.body = body;
    const auto exchange =
        m_pool.send(address, request, system_clock().now() + call_timeout, connection_choice::fresh);
    if (exchange.progress != exchange_progress::answered) {
        return std::nullopt;
    }
    return exchange.response;
}

std::optional<http_response> scheduler_cluster::send_control_request(int number, const std::string& method,
                                                                     const std::string& path,
                                                                     const std::string& body) {
    auto response = send(get_control_addresses()[static_cast<std::size_t>(number) - 1], method, path, body);
    if (!response.has_value() || response->status != 307) {
        return response;
    }
    const auto location = response->headers.get("Location"); // http://ADDRESS/path
    const auto address = location.substr(7, location.find('/', 7) - 7);
    return send(address, method, path, body);
}

std::optional<http_response> scheduler_cluster::send_caller_request(const std::string& method,
                                                                    const std::string& path,
                                                                    const std::string& body, int gateway) {
    return send(get_caller_address(gateway), method, path, body);
}

std::string scheduler_cluster::get_caller_address(int gateway) const {
    return absl::StrCat(get_gateway_host(gateway), ":", m_caller_port.get_port());
}

std::string scheduler_cluster::get_readiness_address() const {
    return absl::StrCat(get_gateway_host(1), ":", m_readiness_port.get_port());
}

std::string scheduler_cluster::get_gateway_metrics_address() const {
    return absl::StrCat(get_gateway_host(1), ":", m_metrics_port.get_port());
}

std::string scheduler_cluster::get_scheduler_metrics_address(int number) const {
    return absl::StrCat(get_host(number), ":", m_metrics_port.get_port());
}

std::string scheduler_cluster::get_link_address(int number) const {
    return absl::StrCat(get_host(number), ":", m_link_port.get_port());
}

void scheduler_cluster::put_config(std::uint64_t version, int max_attempts,
                                   const std::vector<std::string>& prefixes) {
    send_config(make_config(version, max_attempts, prefixes));
}

void scheduler_cluster::put_limits(std::uint64_t version, const nlohmann::json& limits) {
    auto document = make_config(version, 3, {"/jobs/"});
    document["limits"] = limits;
    const auto log_size = get_gateway().read_log().size();
    send_config(document);
    const auto has_changed = [&] {
        return get_gateway().read_log().find("event=limits_changed", log_size) != std::string::npos;
    };
    EXPECT_TRUE(wait_until(seconds{20}, has_changed)) << "the gateway never took over the limits";
}

void scheduler_cluster::send_config(const nlohmann::json& document) {
    const bool is_acknowledged = wait_until(seconds{20}, [&] {
        for (int number = 1; number <= m_count; ++number) {
            const auto response = send_control_request(number, "POST", "/v1/Config.Put", document.dump());
            if (response.has_value() && response->status == 200) {
                return true;
            }
        }
        return false;
    });
    EXPECT_TRUE(is_acknowledged) << "the configuration was never acknowledged";
}

bool scheduler_cluster::submit(const std::string& id, int tasks, duration limit, const std::string& payload) {
    return submit_step(id, {{"count", tasks}, {"cpu", 500}, {"memMb", 100}, {"estimateMs", 200}}, limit,
                       payload);
}

bool scheduler_cluster::submit_long_running(const std::string& id, int tasks, duration limit,
                                            const std::string& payload) {
    return submit_step(id, {{"count", tasks}, {"cpu", 500}, {"memMb", 100}, {"longRunning", true}}, limit,
                       payload);
}

bool scheduler_cluster::submit_gang(const std::string& id, int members, duration limit,
                                    const std::string& payload) {
    return submit_step(id,
                       {{"count", members},
                        {"cpu", 500},
                        {"memMb", 100},
                        {"estimateMs", 200},
                        {"gang", true},
                        {"antiAffinity", 1}},
                       limit, payload);
}

bool scheduler_cluster::submit_step(const std::string& id, const nlohmann::json& step, duration limit,
                                    const std::string& payload) {
    const nlohmann::json job = {{"spec", payload}, {"steps", {step}}};
    return wait_until(limit, [&] {
        const auto response = send_caller_request("POST", "/jobs/" + id, job.dump());
        return response.has_value() && response->status == 200;
    });
}

bool scheduler_cluster::wait_for_state(const std::string& id, const std::string& state, duration limit) {
    return wait_until(limit, [&] { return get_state(id) == state; });
}

bool scheduler_cluster::wait_for_log(const child_process& process, const std::string& text, duration limit) {
    const auto has_text = [&] {
        return process.read_log().find(text) != std::string::npos;
    };
    return wait_until(limit, has_text, log_poll_interval);
}

std::optional<std::string> scheduler_cluster::get_state(const std::string& id) {
    const auto response = send_caller_request("GET", "/jobs/" + id);
    if (!response.has_value() || response->status != 200) {
        return std::nullopt;
    }
    return nlohmann::json::parse(response->body).at("state").get<std::string>();
}

int scheduler_cluster::find_leader() {
    for (int number = 1; number <= m_count; ++number) {
        if (!m_schedulers.contains(number) || !m_schedulers[number]->is_alive()) {
            continue;
        }
        const auto response =
            send(get_control_addresses()[static_cast<std::size_t>(number) - 1], "GET", "/v1/Config.Get", "");
        if (response.has_value() && response->status == 200) {
            return number;
        }
    }
    return 0;
}

} // namespace poplarpitch
