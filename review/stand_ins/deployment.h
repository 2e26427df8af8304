#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace review {

/// A small deployment of the project's programs on loopback addresses: five schedulers, which tolerate the
/// loss of two, and some gateways, with the commands and the settings' templates of `deploy/`. Ends all
/// processes that it started. Thread safety: none.
class deployment {
public:
    /// Starts all processes. Logs and data go to `folder`. Precondition: the working folder is the
    /// repository's root.
    deployment(std::string folder, int gateways, record& log);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Returns an address of this deployment that is free for a stand-in.
    [[nodiscard]] std::string get_ip(int number) const;
    [[nodiscard]] std::vector<endpoint> get_control() const;
    [[nodiscard]] endpoint get_gateway(int number) const;

    /// Sends a signal to a scheduler or a gateway; numbers count from 1.
    void signal_scheduler(int number, int signal);
    void signal_gateway(int number, int signal);
    /// Starts a scheduler that was killed, with its data, as the platform does.
    void start_scheduler_again(int number);
    /// Returns the number of the scheduler that leads, as it answers a read of the configuration without a
    /// redirect, or 0.
    [[nodiscard]] int find_leader() const;

    /// Sends an order of an operator, to one node after the other, beginning with this scheduler, until it is
    /// acknowledged. Returns false when the time is up.
    bool put_config(const nlohmann::json& config, int timeout_ms, int first = 1);
    /// Waits until a gateway says that it is ready. Returns false when the time is up.
    [[nodiscard]] bool wait_until_ready(int gateway, int timeout_ms) const;
    /// Sends a call of a client to a gateway. Returns the status, or 0 when no answer came in time.
    int send(int gateway, const std::string& method, const std::string& path, const std::string& body,
             std::string* answer = nullptr);
    /// Returns the state of a job as a client is told it, or an empty string.
    [[nodiscard]] std::string get_state(const std::string& path);

    static constexpr const char* host = "nony24.example"; ///< of all queues

private:
    pid_t start(const std::string& command, const std::string& name);
    void write_settings(const std::string& template_file, const std::string& name, const std::string& ip,
                        const std::string& data);

    std::string m_folder;
    record& m_record;
    std::string m_network;
    int m_link_port = 0;
    int m_control_port = 0;
    int m_front_port = 0;
    int m_ready_port = 0;
    std::map<int, pid_t> m_schedulers;
    std::map<int, pid_t> m_gateways;
};

/// Returns a configuration with one service and one queue, `/jobs/`, and other queues if named.
nlohmann::json make_config(int version, int max_attempts,
                           const std::vector<std::string>& prefixes = {"/jobs/"});

/// Waits until `is_true` returns true. Returns false when the time is up.
bool wait_until(int timeout_ms, const std::function<bool()>& is_true);
void sleep_ms(int time_ms);

} // namespace review
