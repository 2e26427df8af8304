#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "unit_tests/support/child_process.h"
#include "unit_tests/support/port_reservation.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// Real schedulers and a gateway as processes on loopback, each scheduler on an address of its own
/// (127.0.0.11 and on), since control instances find each other by address and share their ports' numbers.
class scheduler_cluster {
public:
    /// `workers_text` is added to the section [workers] of the schedulers' settings.
    explicit scheduler_cluster(int schedulers, std::string workers_text = {});
    ~scheduler_cluster();
    scheduler_cluster(const scheduler_cluster&) = delete;
    scheduler_cluster& operator=(const scheduler_cluster&) = delete;

    /// Starts a scheduler that does not run. `may_found` is true at the first start only.
    void start_scheduler(int number, bool may_found = false);
    /// Starts the gateway.
    void start_gateway();
    /// Removes a scheduler's data folder. Precondition: it does not run.
    void wipe(int number) const;
    [[nodiscard]] child_process& get_scheduler(int number) { return *m_schedulers.at(number); }
    [[nodiscard]] child_process& get_gateway() { return *m_gateway; }
    /// Returns the control addresses of all schedulers.
    [[nodiscard]] std::vector<std::string> get_controls() const;

    /// Sends a request to a scheduler's control address and follows redirects; nothing when no answer comes.
    std::optional<http_response> ask_control(int number, const std::string& method, const std::string& path,
                                             const std::string& body = {});
    /// Sends a caller's request through the gateway; nothing when no answer comes.
    std::optional<http_response> ask(const std::string& method, const std::string& path,
                                     const std::string& body = {});
    /// Puts a configuration with one queue at `/jobs/` until it is acknowledged.
    void put_config(std::uint64_t version);
    /// Submits a job of one step until it is accepted. Returns false when it was not within `limit`.
    bool submit(const std::string& id, int tasks, duration limit, const std::string& spec = "text");
    /// Waits until a job's state is `state`.
    bool wait_for_state(const std::string& id, const std::string& state, duration limit);
    /// Returns the number of the scheduler that leads, or 0.
    int find_leader();

private:
    [[nodiscard]] static std::string get_host(int number);
    std::optional<http_response> send(const std::string& address, const std::string& method,
                                      const std::string& path, const std::string& body);

    std::string m_folder;
    int m_count;
    std::string m_workers_text;
    port_reservation m_link_port;
    port_reservation m_control_port;
    port_reservation m_callers_port;
    port_reservation m_ready_port;
    std::map<int, std::unique_ptr<child_process>> m_schedulers;
    std::unique_ptr<child_process> m_gateway;
    http_client_pool m_pool;
};

} // namespace poplarpitch
