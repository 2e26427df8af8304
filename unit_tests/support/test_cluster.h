#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "unit_tests/support/child_process.h"
#include "unit_tests/support/port_reservation.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {

/// Control instances, entry instances and stand-in workers as real processes on loopback, with their files in
/// a temporary folder.
class test_cluster {
public:
    /// Starts `controls` control instances and `entries` entry instances, and two processes with
    /// `workers_per_process` stand-in workers each.
    test_cluster(int controls, int entries, int workers_per_process);
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    void start_control(int number);
    /// Runs a control instance with `--restore` until it exits, and returns its exit code.
    int restore_control(int number, const std::string& backup);
    void start_entry(int number);
    void start_workers(int process);
    child_process& get_control(int number) { return *m_controls.at(number); }
    child_process& get_entry(int number) { return *m_entries.at(number); }
    child_process& get_workers(int process) { return *m_workers.at(process); }

    /// Applies the first configuration and waits until every worker is owned and ready.
    void make_ready(const std::string& config);
    /// Sends a request to an entry and waits at most `limit` for the answer.
    http_exchange send(int entry, const std::string& method, const std::string& target,
                       const std::string& body = "", const std::vector<http_header>& headers = {},
                       duration limit = seconds{10});
    /// Waits until `condition` holds. Returns false when it does not within `limit`.
    static bool wait_until(const std::function<bool()>& condition, duration limit = seconds{60});
    /// Returns a number from the status of an entry or from its control part; 0 while it is not known.
    std::uint64_t get_status_number(int entry, const std::string& key);
    /// Returns the number of the control instance that leads; 0 while none is known.
    int find_leader(int entry);
    /// Returns a job's state; empty while it is not known.
    std::string get_job_state(int entry, const std::string& id);

    [[nodiscard]] const std::string& get_folder() const { return m_folder; }
    [[nodiscard]] std::string get_record(int process) const;
    [[nodiscard]] int get_entry_port(int number) const { return m_entry_ports.at(number).get_port(); }

private:
    /// Prints the last lines of each daemon's log, for failures on machines whose files cannot be inspected.
    void print_log_tails() const;
    void write_file(const std::string& name, const std::string& text) const;
    void write_control_settings(int number) const;

    std::string m_folder;
    std::string m_control_list;
    std::map<int, port_reservation> m_control_ports;
    std::map<int, port_reservation> m_entry_ports;
    int m_workers_per_process;
    std::map<int, std::unique_ptr<child_process>> m_controls;
    std::map<int, std::unique_ptr<child_process>> m_entries;
    std::map<int, std::unique_ptr<child_process>> m_workers;
    http_client_pool m_pool;
};

} // namespace poplarpitch
