#include "unit_tests/client_limits/limits_fixture.h"

#include <sys/wait.h>

#include <csignal>
#include <iostream>
#include <vector>

namespace poplarpitch {
namespace {

constexpr int attempts_beside_crowd = 5;
constexpr duration accept_timeout = seconds{30}; // only a failing test waits this long
constexpr std::size_t megabyte = 1'000'000;

/// Returns true when a process has ended, without waiting for it.
bool has_ended(const child_process& process) {
    siginfo_t state{};
    const int outcome =
        ::waitid(P_PID, static_cast<id_t>(process.get_pid()), &state, WEXITED | WNOHANG | WNOWAIT);
    return outcome != 0 || state.si_pid != 0;
}

} // namespace

void client_limits::SetUp() {
    raise_descriptor_limit();
    m_cluster = std::make_unique<scheduler_cluster>(1);
    m_cluster->put_config(1);
    ASSERT_TRUE(m_cluster->submit(m_job, 1, accept_timeout));
    m_entry = std::make_unique<process_memory>(m_cluster->get_gateway().get_pid(),
                                               std::vector{m_cluster->get_caller_address(),
                                                           m_cluster->get_readiness_address(),
                                                           m_cluster->get_gateway_metrics_address()});
    m_scheduler = std::make_unique<process_memory>(m_cluster->get_scheduler(1).get_pid(),
                                                   std::vector{get_control_address(),
                                                               m_cluster->get_scheduler_metrics_address(1),
                                                               m_cluster->get_link_address(1)});
}

std::string client_limits::get_control_address() const {
    return m_cluster->get_control_addresses()[0];
}

void client_limits::expect_held(const std::string& address, int connections, const crowd_message& message) {
    expect_held(address, connections, [&message](int /*connection*/) { return message; });
}

void client_limits::expect_held(const std::string& address, int connections,
                                const std::function<crowd_message(int)>& make_message) {
    {
        client_crowd crowd(address, connections, make_message);
        crowd.send_all([this] { sample(); });
        EXPECT_TRUE(is_caller_answered(attempts_beside_crowd)) << "beside the crowd";
        sample();
    }
    EXPECT_TRUE(is_caller_answered(1)) << "after the crowd";
    expect_bounds();
}

void client_limits::expect_bounds() const {
    EXPECT_FALSE(has_ended(m_cluster->get_gateway())) << "the entry instance has ended";
    EXPECT_FALSE(has_ended(m_cluster->get_scheduler(1))) << "the scheduler has ended";
    EXPECT_LE(m_entry->get_peak(), entry_memory_bytes);
    EXPECT_LE(m_scheduler->get_peak(), scheduler_memory_bytes);
    std::cout << "peak: entry " << m_entry->get_peak() / megabyte << " MB, scheduler "
              << m_scheduler->get_peak() / megabyte << " MB\n";
}

void client_limits::sample() {
    m_entry->sample();
    m_scheduler->sample();
}

bool client_limits::is_caller_answered(int tries) {
    for (int attempt = 0; attempt < tries; ++attempt) {
        if (m_cluster->get_state(m_job).has_value()) {
            return true;
        }
    }
    return false;
}

} // namespace poplarpitch
