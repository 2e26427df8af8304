#include "unit_tests/support/test_cluster.h"

#include "poplarpitch/core/system_clock.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>

namespace poplarpitch {
namespace {

std::string make_folder() {
    static std::atomic<int> next{0};
    const auto name = absl::StrCat("poplarpitch-test-", ::getpid(), "-", next.fetch_add(1));
    const auto folder = std::filesystem::temp_directory_path() / name;
    std::filesystem::create_directories(folder);
    return folder.string();
}

std::string get_program(const std::string& name) {
    return std::string(POPLARPITCH_BIN) + "/" + name;
}

} // namespace

test_cluster::test_cluster(int controls, int entries, int workers_per_process)
    : m_folder(make_folder()), m_workers_per_process(workers_per_process), m_pool(http_client_settings{}) {
    std::vector<std::string> peers;
    for (int number = 1; number <= controls; ++number) {
        peers.push_back(absl::StrCat(number, "@127.0.0.1:", m_control_ports[number].get_port()));
    }
    m_control_list = absl::StrJoin(peers, ", ");
    for (int number = 1; number <= entries; ++number) {
        m_entry_ports[number]; // reserves the ports before any daemon starts
    }
    for (int number = 1; number <= controls; ++number) {
        start_control(number);
    }
    for (int number = 1; number <= entries; ++number) {
        start_entry(number);
    }
    start_workers(1);
    start_workers(2);
}

test_cluster::~test_cluster() {
    m_workers.clear();
    m_entries.clear();
    m_controls.clear();
    if (testing::Test::HasFailure()) {
        std::cerr << "the logs are kept in " << m_folder << "\n";
        print_log_tails();
    } else {
        std::filesystem::remove_all(m_folder);
    }
}

void test_cluster::print_log_tails() const {
    constexpr std::size_t shown_lines = 6; // a daemon that could not start logs the reason in its last line
    for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        std::deque<std::string> lines;
        std::ifstream log(file.path());
        for (std::string line; std::getline(log, line);) {
            lines.push_back(line);
            if (lines.size() > shown_lines) {
                lines.pop_front();
            }
        }
        std::cerr << "-- end of " << file.path().filename().string() << "\n"
                  << absl::StrJoin(lines, "\n") << "\n";
    }
}

void test_cluster::write_file(const std::string& name, const std::string& text) const {
    std::ofstream(m_folder + "/" + name) << text;
}

void test_cluster::write_control_settings(int number) const {
    const auto name = absl::StrCat("control-", number);
    write_file(name + ".ini", absl::StrCat("[daemon]\nid = ", name, "\nnode_id = ", number,
                                           "\ngrpc_port = ", m_control_ports.at(number).get_port(),
                                           "\ncontrol = ", m_control_list, "\ndata_folder = ", m_folder,
                                           "/data-", number, "\n"));
}

void test_cluster::start_control(int number) {
    write_control_settings(number);
    const auto name = absl::StrCat(m_folder, "/control-", number);
    m_controls[number] = std::make_unique<child_process>(
        std::vector<std::string>{get_program("poplarpitch-control"), "--settings", name + ".ini"},
        name + ".log");
}

int test_cluster::restore_control(int number, const std::string& backup) {
    write_control_settings(number);
    const auto name = absl::StrCat(m_folder, "/control-", number);
    child_process restore(
        {get_program("poplarpitch-control"), "--settings", name + ".ini", "--restore", backup},
        name + ".log");
    return restore.wait();
}

void test_cluster::start_entry(int number) {
    const auto name = absl::StrCat("entry-", number);
    write_file(name + ".ini",
               absl::StrCat("[daemon]\nid = ", name, "\nhttp_port = ", m_entry_ports[number].get_port(),
                            "\ncontrol = ", m_control_list, "\n"));
    m_entries[number] = std::make_unique<child_process>(
        std::vector<std::string>{get_program("poplarpitch-entry"), "--settings",
                                 m_folder + "/" + name + ".ini"},
        m_folder + "/" + name + ".log");
}

void test_cluster::start_workers(int process) {
    std::vector<std::string> entries;
    for (const auto& [number, port] : m_entry_ports) {
        entries.push_back(absl::StrCat("127.0.0.1:", port.get_port()));
    }
    const auto name = absl::StrCat("workers-", process);
    write_file(
        name + ".ini",
        absl::StrCat(
            "[stand_in]\nid = w", process, "\ncount = ", m_workers_per_process,
            "\nentries = ", absl::StrJoin(entries, ","), "\nrecord = ", get_record(process),
            "\n[service fast]\ntime = 2ms\n[service pay]\ntime = 5ms\n[service slow]\ntime = 400ms\n"));
    m_workers[process] = std::make_unique<child_process>(
        std::vector<std::string>{get_program("poplarpitch-stand-in"), "--settings",
                                 m_folder + "/" + name + ".ini"},
        m_folder + "/" + name + ".log");
}

std::string test_cluster::get_record(int process) const {
    return absl::StrCat(m_folder, "/record-", process);
}

http_exchange test_cluster::send(int entry, const std::string& method, const std::string& target,
                                 const std::string& body, const std::vector<http_header>& headers,
                                 duration limit) {
    http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    for (const auto& header : headers) {
        request.headers.add(header.name, header.value);
    }
    return m_pool.send(absl::StrCat("127.0.0.1:", get_entry_port(entry)), request,
                       system_clock().now() + limit, connection_choice::known_alive);
}

bool test_cluster::wait_until(const std::function<bool()>& condition, duration limit) {
    const system_clock clock;
    const auto end = clock.now() + limit;
    while (!condition()) {
        if (clock.now() > end) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(20)); // polling interval; no condition depends on its length
    }
    return true;
}

std::uint64_t test_cluster::get_status_number(int entry, const std::string& key) {
    const auto exchange = send(entry, "GET", "/v1/status");
    const auto body = nlohmann::json::parse(exchange.response.body, nullptr, false);
    if (!body.is_object()) {
        return 0;
    }
    if (body.contains(key)) {
        return body[key].get<std::uint64_t>();
    }
    const auto control = body.value("control", nlohmann::json::object());
    return control.contains(key) ? control[key].get<std::uint64_t>() : 0;
}

int test_cluster::find_leader(int entry) {
    return static_cast<int>(get_status_number(entry, "leader"));
}

std::string test_cluster::get_job_state(int entry, const std::string& id) {
    const auto exchange = send(entry, "GET", "/v1/jobs/" + id);
    const auto body = nlohmann::json::parse(exchange.response.body, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
}

void test_cluster::make_ready(const std::string& config) {
    ASSERT_TRUE(wait_until([&] {
        const auto exchange =
            send(1, "PUT", "/v1/config", config, {{"If-Match", "0"}, {"Poplarpitch-Change-Id", "first"}});
        return exchange.response.status == 200 && exchange.progress == exchange_progress::answered;
    }));
    ASSERT_TRUE(wait_until([&] {
        std::uint64_t ready = 0;
        for (const auto& [number, port] : m_entry_ports) {
            ready += get_status_number(number, "ready_workers");
        }
        return ready == static_cast<std::uint64_t>(m_workers_per_process) * 2;
    }));
}

} // namespace poplarpitch
