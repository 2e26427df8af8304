#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "unit_tests/support/child_process.h"
#include "unit_tests/support/port_reservation.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// Schedulers and gateways as real processes on loopback. Each scheduler has its own address, from 127.0.0.11
/// on, since control instances find each other by address and use the same port numbers. Each gateway has its
/// own address as well, from 127.0.0.1 on. Gateways are numbered from 1. Thread safety: any thread, for
/// `send_caller_request`; none, for the other methods.
class scheduler_cluster {
public:
    /// Starts all processes. `workers_settings` is appended to the section [workers] of the schedulers'
    /// settings. The lease is 2 s unless `workers_settings` starts with another one. `voters`: how many
    /// schedulers vote in the log; 0 for all. Precondition: `data_centres` is empty or has one entry for each
    /// scheduler, there are at most 10 gateways, and `voters` is odd or 0.
    explicit scheduler_cluster(int schedulers, std::string workers_settings = {},
                               std::vector<std::string> data_centres = {}, int gateways = 1, int voters = 0);
    ~scheduler_cluster();
    scheduler_cluster(const scheduler_cluster&) = delete;
    scheduler_cluster& operator=(const scheduler_cluster&) = delete;

    /// Starts a scheduler that does not run. `may_found` allows it to found a new cluster and is true at the
    /// first start only.
    void start_scheduler(int number, bool may_found = false);
    /// Starts a gateway that does not run.
    void start_gateway(int number = 1);
    /// Deletes a scheduler's data folder. Precondition: the scheduler does not run.
    void delete_data(int number) const;
    /// Kills all schedulers and gateways at the same moment. Their data folders stay.
    void crash_all();
    /// Returns true when all schedulers vote again after the last crash of all, and those in `wiped`, whose
    /// data was deleted meanwhile, have been promoted to voters.
    [[nodiscard]] bool have_rejoined(const std::vector<int>& wiped) const;
    /// Returns the process of a scheduler, which may have ended. Precondition: it was started once.
    [[nodiscard]] child_process& get_scheduler(int number) { return *m_schedulers.at(number); }
    /// Returns the process of a gateway, which may have ended. Precondition: it was started once.
    [[nodiscard]] child_process& get_gateway(int number = 1) { return *m_gateways.at(number); }
    /// Returns the folder of the settings, logs and data. The destructor removes it unless a test failed or
    /// POPLARPITCH_KEEP_LOGS is set.
    [[nodiscard]] const std::string& get_folder() const { return m_folder; }
    /// Returns the control addresses of all schedulers.
    [[nodiscard]] std::vector<std::string> get_control_addresses() const;
    /// Returns the address at which a gateway accepts callers' requests.
    [[nodiscard]] std::string get_caller_address(int gateway = 1) const;
    /// Returns the address of the first gateway's health check.
    [[nodiscard]] std::string get_readiness_address() const;
    /// Returns the address at which the first gateway serves its metrics.
    [[nodiscard]] std::string get_gateway_metrics_address() const;
    /// Returns the address at which a scheduler serves its metrics.
    [[nodiscard]] std::string get_scheduler_metrics_address(int number) const;
    /// Returns the address at which a scheduler accepts the frames of other processes.
    [[nodiscard]] std::string get_link_address(int number) const;

    /// Sends a request to a scheduler's control address and follows one redirect. Returns nothing when no
    /// answer arrives.
    std::optional<http_response> send_control_request(int number, const std::string& method,
                                                      const std::string& path, const std::string& body = {});
    /// Sends a caller's request through a gateway. Returns nothing when no answer arrives.
    std::optional<http_response> send_caller_request(const std::string& method, const std::string& path,
                                                     const std::string& body = {}, int gateway = 1);
    /// Sends a configuration with one queue at each of `prefixes` until it is acknowledged, and fails the
    /// test when it is not.
    void put_config(std::uint64_t version, int max_attempts = 3,
                    const std::vector<std::string>& prefixes = {"/jobs/"});
    /// Sends a configuration with one queue at /jobs/ and these limits, as JSON, until it is acknowledged and
    /// the first gateway has taken them over, and fails the test when that does not happen.
    void put_limits(std::uint64_t version, const nlohmann::json& limits);
    /// Submits a job of one step, repeatedly until it is accepted. Returns false when it is not accepted
    /// within `limit`.
    bool submit(const std::string& id, int tasks, duration limit, const std::string& payload = "text");
    /// As above, for a job of one step whose tasks run until it is cancelled.
    bool submit_long_running(const std::string& id, int tasks, duration limit, const std::string& payload);
    /// As above, for a job of one gang with one member on a worker.
    bool submit_gang(const std::string& id, int members, duration limit, const std::string& payload);
    /// Waits until a job's state is `state`. Returns false when it is not within `limit`.
    bool wait_for_state(const std::string& id, const std::string& state, duration limit);
    /// Waits until the log of a process contains `text`, and looks often, so that the caller can act right
    /// after. Returns false when it does not within `limit`.
    static bool wait_for_log(const child_process& process, const std::string& text, duration limit);
    /// Returns a job's state, or nothing when no answer reports it.
    std::optional<std::string> get_state(const std::string& id);
    /// Returns the number of the scheduler that leads, or 0 when none does.
    int find_leader();

private:
    /// Sends a configuration until it is acknowledged, and fails the test when it is not.
    void send_config(const nlohmann::json& document);
    [[nodiscard]] static std::string get_host(int number);
    [[nodiscard]] static std::string get_gateway_host(int number);
    [[nodiscard]] std::string get_data_centre(int number) const;
    /// Returns true when the log of a scheduler, since the last crash of all, has `log_text` for the
    /// scheduler at `host` (for any when empty) and, on that line or later, that all schedulers vote.
    [[nodiscard]] bool did_all_vote_after(const std::string& log_text, const std::string& host = {}) const;
    bool submit_step(const std::string& id, const nlohmann::json& step, duration limit,
                     const std::string& payload);
    std::optional<http_response> send(const std::string& address, const std::string& method,
                                      const std::string& path, const std::string& body);

    std::string m_folder;
    int m_count;
    int m_voters;
    std::string m_workers_settings;
    std::vector<std::string> m_data_centres;
    std::map<int, std::size_t> m_log_sizes_at_crash; ///< size of each log at the last crash of all
    port_reservation m_link_port;
    port_reservation m_control_port;
    port_reservation m_caller_port;
    port_reservation m_readiness_port;
    port_reservation m_metrics_port;
    std::map<int, std::unique_ptr<child_process>> m_schedulers;
    std::map<int, std::unique_ptr<child_process>> m_gateways;
    http_client_pool m_pool;
};

} // namespace poplarpitch
