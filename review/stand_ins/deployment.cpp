#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr int scheduler_count = 5;
constexpr int seed_count = 3;
constexpr int first_scheduler_ip = 11;
constexpr int first_gateway_ip = 31;
constexpr int call_timeout_ms = 1'000;
constexpr int client_timeout_ms = 3'000;
constexpr int max_redirects = 2;

std::string read_file(const std::string& name) {
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the value of `run` of a role in the deploy file.
std::string find_command(const std::string& role) {
    const auto text = read_file("deploy/system.toml");
    const auto section = text.find("[roles." + role + "]");
    const auto start = text.find("run = \"", section) + 7;
    return text.substr(start, text.find('"', start) - start);
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto position = text.find(from); position != std::string::npos;
         position = text.find(from, position + to.size())) {
        text.replace(position, from.size(), to);
    }
}

} // namespace

void sleep_ms(int time_ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time_ms));
}

bool wait_until(int timeout_ms, const std::function<bool()>& is_true) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    while (std::chrono::steady_clock::now() < end) {
        if (is_true()) {
            return true;
        }
        sleep_ms(20);
    }
    return false;
}

json make_config(int version, int max_attempts, const std::vector<std::string>& prefixes) {
    json routes = json::array();
    for (const auto& prefix : prefixes) {
        routes.push_back({{"name", "r-" + prefix.substr(1, prefix.size() - 2)},
                          {"host", deployment::host},
                          {"pathPrefix", prefix},
                          {"kind", "unsafe"},
                          {"timeoutMs", 3'000},
                          {"targetLatencyMs", 1'000},
                          {"priority", 0},
                          {"service", "workers"},
                          {"maxAttempts", max_attempts},
                          {"stretch", 2.0}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services",
             {{{"name", "workers"},
               {"healthPath", "/health"},
               {"maxConns", 64},
               {"protocol", "h1"},
               {"tls", false},
               {"enforcesCapacity", true},
               {"standby", false}}}},
            {"limits",
             {{"maxHeaderBytes", 16'384},
              {"maxBodyBytes", 262'144},
              {"headerTimeoutMs", 3'000},
              {"idleTimeoutMs", 15'000}}}};
}

deployment::deployment(std::string folder, int gateways, record& log)
    : m_folder(std::move(folder)), m_record(log) {
    const auto process = static_cast<unsigned>(::getpid());
    m_network =
        "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + ".";
    std::vector<std::string> ips;
    for (int number = 1; number <= scheduler_count; ++number) {
        ips.push_back(get_ip(first_scheduler_ip + number - 1));
    }
    for (int number = 1; number <= gateways; ++number) {
        ips.push_back(get_ip(first_gateway_ip + number - 1));
    }
    m_link_port = find_free_port(ips);
    m_control_port = find_free_port(ips);
    m_front_port = find_free_port(ips);
    m_ready_port = find_free_port(ips);
    std::filesystem::create_directories(m_folder);
    for (int number = 1; number <= scheduler_count; ++number) {
        const auto name = "core-" + std::to_string(number);
        const auto ip = get_ip(first_scheduler_ip + number - 1);
        write_settings("deploy/scheduler.ini", name, ip, m_folder + "/data-" + name);
        m_schedulers[number] = start(find_command("scheduler"), name);
    }
    for (int number = 1; number <= gateways; ++number) {
        const auto name = "front-" + std::to_string(number);
        write_settings("deploy/entry.ini", name, get_ip(first_gateway_ip + number - 1), "");
        m_gateways[number] = start(find_command("entry"), name);
    }
}

deployment::~deployment() {
    for (const auto& processes : {m_gateways, m_schedulers}) {
        for (const auto& [number, process] : processes) {
            ::kill(process, SIGKILL);
        }
        for (const auto& [number, process] : processes) {
            ::waitpid(process, nullptr, 0);
        }
    }
}

std::string deployment::get_ip(int number) const {
    return m_network + std::to_string(number);
}

std::vector<endpoint> deployment::get_control() const {
    std::vector<endpoint> addresses;
    addresses.reserve(scheduler_count);
    for (int number = 0; number < scheduler_count; ++number) {
        addresses.push_back({get_ip(first_scheduler_ip + number), m_control_port});
    }
    return addresses;
}

endpoint deployment::get_gateway(int number) const {
    return {get_ip(first_gateway_ip + number - 1), m_front_port};
}

/// Fills in a template as the platform does, with the fields that the project's templates name.
void deployment::write_settings(const std::string& template_file, const std::string& name,
                                const std::string& ip, const std::string& data) {
    std::string seeds;
    for (int number = 0; number < seed_count; ++number) {
        seeds += (number == 0 ? "" : ",") + format_endpoint(get_control()[static_cast<std::size_t>(number)]);
    }
    auto text = read_file(template_file);
    const std::map<std::string, std::string> fields = {
        {"{{node}}", name},
        {"{{zone}}", "hall-1"},
        {"{{ip}}", ip},
        {"{{portRange.0}}", std::to_string(m_link_port)},
        {"{{seeds}}", seeds},
        {"{{listen.control}}", ip + ":" + std::to_string(m_control_port)},
        {"{{listen.front}}", ip + ":" + std::to_string(m_front_port)},
        {"{{listen.ready}}", ip + ":" + std::to_string(m_ready_port)},
        {"{{dataDir}}", data},
        {"{{bootstrap}}", "true"},
        {"{{faultTolerance.machines}}", "2"},
        {"{{limits.maxFds}}", "4096"},
        {"{{advice}}", ""},
        {"{{bounds.holdMaxMs}}", "10000"},
        {"{{bounds.stopMs}}", "900"},
        {"{{#heartbeatMs}}", ""},
        {"{{/heartbeatMs}}", ""},
        {"{{heartbeatMs}}", "1100"},
        {"{{bounds.status_s}}", "120"}};
    for (const auto& [field, value] : fields) {
        replace_all(text, field, value);
    }
    std::ofstream(m_folder + "/" + name + ".ini") << text;
}

pid_t deployment::start(const std::string& command, const std::string& name) {
    std::vector<std::string> words;
    std::istringstream text(command);
    for (std::string word; text >> word;) {
        words.push_back(word == "/etc/poplarpitch/settings.toml" ? m_folder + "/" + name + ".ini" : word);
    }
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const auto log = m_folder + "/" + name + ".log";
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it also ends if this process is ended
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    m_record.add("process " + name + " is started");
    return process;
}

void deployment::signal_scheduler(int number, int signal) {
    m_record.add("signal " + std::to_string(signal) + " to core-" + std::to_string(number));
    ::kill(m_schedulers.at(number), signal);
}

void deployment::signal_gateway(int number, int signal) {
    m_record.add("signal " + std::to_string(signal) + " to front-" + std::to_string(number));
    ::kill(m_gateways.at(number), signal);
}

void deployment::start_scheduler_again(int number) {
    const auto name = "core-" + std::to_string(number);
    ::waitpid(m_schedulers.at(number), nullptr, 0);
    auto text = read_file(m_folder + "/" + name + ".ini");
    replace_all(text, "may_found = true", "may_found = false"); // only at the first start of the whole system
    std::ofstream(m_folder + "/" + name + ".ini") << text;
    m_schedulers[number] = start(find_command("scheduler"), name);
}

int deployment::find_leader() const {
    http_message request;
    request.method = "GET";
    request.target = "/v1/Config.Get";
    const auto control = get_control();
    for (int number = 1; number <= scheduler_count; ++number) {
        const auto answer = call(control[static_cast<std::size_t>(number) - 1], request, call_timeout_ms);
        if (answer.has_value() && answer->status == 200) {
            return number;
        }
    }
    return 0;
}

bool deployment::put_config(const json& config, int timeout_ms, int first) {
    http_message request;
    request.method = "POST";
    request.target = "/v1/Config.Put";
    request.body = config.dump();
    const auto version = std::to_string(config.at("version").get<int>());
    const auto control = get_control();
    auto next = static_cast<std::size_t>(first) - 1;
    m_record.add("operator sends config " + version);
    const bool is_acknowledged = wait_until(timeout_ms, [&] {
        auto answer = call(control[next++ % control.size()], request, call_timeout_ms);
        for (int hop = 0; hop < max_redirects && answer.has_value() && answer->status == 307; ++hop) {
            const auto place = answer->headers["location"].substr(7);
            answer = call(parse_endpoint(place.substr(0, place.find('/'))), request, call_timeout_ms);
        }
        return answer.has_value() && answer->status == 200;
    });
    m_record.add("config " + version + (is_acknowledged ? " is acknowledged" : " has no ack"));
    return is_acknowledged;
}

bool deployment::wait_until_ready(int gateway, int timeout_ms) const {
    http_message request;
    request.method = "GET";
    request.target = "/v1/ready";
    return wait_until(timeout_ms, [&] {
        const auto answer = call({get_gateway(gateway).ip, m_ready_port}, request, call_timeout_ms);
        return answer.has_value() && answer->status == 200;
    });
}

int deployment::send(int gateway, const std::string& method, const std::string& path, const std::string& body,
                     std::string* answer) {
    http_message request;
    request.method = method;
    request.target = path;
    request.headers["host"] = host;
    request.headers["deadline-ms"] = std::to_string(client_timeout_ms);
    request.body = body;
    const auto response = call(get_gateway(gateway), request, client_timeout_ms);
    if (answer != nullptr && response.has_value()) {
        *answer = response->body;
    }
    return response.has_value() ? response->status : 0;
}

std::string deployment::get_state(const std::string& path) {
    std::string body;
    if (send(1, "GET", path, "", &body) != 200) {
        return {};
    }
    const auto state = json::parse(body, nullptr, false);
    return state.is_object() ? state.value("state", std::string{}) : std::string{};
}

} // namespace review
